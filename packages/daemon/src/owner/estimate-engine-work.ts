import {estimateOpenWork, type OpenWork} from '@marjoramcove/scheduler';
import type {UpstreamId} from '@marjoramcove/types';
import type {OpenCallLoads} from './open-call-loads.ts';
import type {OwnerCore} from './owner-core.ts';

/**
 * Estimates the work at an upstream from its last load report and the open calls of all owners.
 *
 * @param call - work of the call to route; the assumed size of a reported call when the owners had no
 * open call at the time of the report.
 */
export const estimateEngineWork = (
	core: OwnerCore,
	loads: OpenCallLoads,
	upstreamId: UpstreamId,
	call: Pick<OpenWork, 'prefillTokens' | 'completionTokens'>,
): OpenWork => {
	const report = core.upstreams.lastReport(upstreamId);
	const ownAtReport = loads.openWorkAtReport(upstreamId);
	const calls = report ? report.running + report.waiting : 0;
	// Engines report calls, not tokens, so a reported call counts as an average call of the owners.
	const averagePerCall = (name: 'prefillTokens' | 'completionTokens') =>
		ownAtReport.calls > 0 ? ownAtReport[name] / ownAtReport.calls : call[name];
	return estimateOpenWork(
		{
			report: {
				calls,
				prefillTokens: calls * averagePerCall('prefillTokens'),
				completionTokens: calls * averagePerCall('completionTokens'),
			},
			ownAtReport,
			own: loads.openWork(upstreamId),
			reportAgeMs: report?.ageMs ?? Number.POSITIVE_INFINITY,
			// `loads` covers the calls of all owners, so they count as one dispatcher.
			dispatchers: 1,
		},
		core.context.settings.policy,
	);
};
