import {estimateOpenWork, type OpenWork} from '@marjoramcove/scheduler';
import type {UpstreamId} from '@marjoramcove/types';
import type {OpenCallLoads} from './open-call-loads.ts';
import type {OwnerCore} from './owner-core.ts';

/**
 * Estimates the work at an upstream from its last report and the calls of the owners.
 *
 * @param call - work of the call at hand; it stands for reported calls of which no owner knows.
 */
export const estimateEngineWork = (
	core: OwnerCore,
	loads: OpenCallLoads,
	upstreamId: UpstreamId,
	call: Pick<OpenWork, 'prefillTokens' | 'completionTokens'>,
): OpenWork => {
	const report = core.upstreams.lastReport(upstreamId);
	const ownAtReport = loads.ownAtReport(upstreamId);
	const calls = report ? report.running + report.waiting : 0;
	// Engines report calls, not tokens: a reported call counts as the average one of the owners.
	const perCall = (name: 'prefillTokens' | 'completionTokens') =>
		ownAtReport.calls > 0 ? ownAtReport[name] / ownAtReport.calls : call[name];
	return estimateOpenWork(
		{
			report: {
				calls,
				prefillTokens: calls * perCall('prefillTokens'),
				completionTokens: calls * perCall('completionTokens'),
			},
			ownAtReport,
			own: loads.own(upstreamId),
			reportAgeMs: report?.ageMs ?? Number.POSITIVE_INFINITY,
			// The record of open calls covers those of all owners.
			dispatchers: 1,
		},
		core.context.settings.policy,
	);
};
