import type {QuotaLimit} from '@marjoramcove/quotas';
import type {Team} from '@marjoramcove/routes';
import type {CallerId} from '@marjoramcove/types';

/**
 * Returns the quotas of the teams that have one.
 *
 * @example
 * ```ts
 * const limits = readQuotaLimits(document.teams ?? []);
 * ```
 */
export const readQuotaLimits = (
	teams: readonly Team[],
): Map<CallerId, QuotaLimit> =>
	new Map(
		teams.flatMap(({id, requestsPerSecond = 0, burstRequests}) =>
			requestsPerSecond > 0
				? [[id, {requestsPerSecond, burstRequests}] as const]
				: [],
		),
	);
