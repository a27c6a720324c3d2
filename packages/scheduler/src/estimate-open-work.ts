import {readTuning} from './policy-tuning.ts';
import type {OpenWork, OpenWorkInput, PolicySettings} from './types.ts';

/**
 * Estimates the work that is queued and in flight at an engine: its last report, corrected by the calls
 * that this process has sent and seen finish since then.
 *
 * A report older than `staleReportMs` is ignored; every other process is then assumed to have as much
 * open work there as this one. Otherwise, an engine that was busy at its last report would get no work.
 *
 * @example
 * ```ts
 * const {calls} = estimateOpenWork({report, ownAtReport, own, reportAgeMs, dispatchers: 4}, settings);
 * ```
 */
export const estimateOpenWork = (
	{report, ownAtReport, own, reportAgeMs, dispatchers}: OpenWorkInput,
	settings: PolicySettings,
): OpenWork => {
	const isStale = reportAgeMs > readTuning(settings).staleReportMs;
	const estimate = (name: keyof OpenWork) =>
		isStale
			? own[name] * dispatchers
			: Math.max(own[name], report[name] + own[name] - ownAtReport[name]);
	return {
		calls: estimate('calls'),
		prefillTokens: estimate('prefillTokens'),
		completionTokens: estimate('completionTokens'),
	};
};
