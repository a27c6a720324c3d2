import {readTuning} from './policy-tuning.ts';
import type {OpenWork, OpenWorkInput, PolicySettings} from './types.ts';

/**
 * Estimates the work that is queued and in flight at an engine from a late report and the process's own
 * dispatch records: the report, plus what the process itself has sent and seen finished since then.
 *
 * A report older than `staleReportMs` is not used: other processes are then assumed to have as much work
 * there as this one. Without this rule, an engine that was busy at its last report gets no work.
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
