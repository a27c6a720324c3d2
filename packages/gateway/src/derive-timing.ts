import {
	DEFAULT_GATEWAY_TIMING,
	type GatewayTiming,
} from './gateway-settings.ts';

/** Limits that the platform of a deployment prescribes. */
export type PlatformLimits = {
	/** Time between SIGTERM and SIGKILL. */
	stopGraceMs: number;
	/** Time for which a leaving server still serves; absent if the platform states none. */
	serverDrainMs?: number;
	/** Longest time for which callers cache addresses, regardless of the TTL in the response. */
	addressTtlMaxMs: number;
};

/** Time that a process needs to exit after its last request, and its largest share of the grace. */
const EXIT_MARGIN_MS = 700;
const MAX_EXIT_SHARE = 0.1;

/**
 * Share of the time for which a leaving server still serves, in which it may get requests that no other server
 * can take. The rest covers the delay of the news and the requests themselves.
 */
const LEAVING_USE_SHARE = 0.3;

/** Some callers cache addresses for three times their TTL. */
const TTL_OVERRUN_FACTOR = 3;

/** Fraction of the stop deadline that is reserved for in-flight requests. */
const IN_FLIGHT_SHARE = 0.3;

/**
 * Derives the drain times and the address TTL. A draining entry daemon keeps serving as long as callers may
 * use its address, and then still has time to finish in-flight requests.
 *
 * @example
 * ```ts
 * const timing = deriveTiming({stopGraceMs: 8000, addressTtlMaxMs: 5000});
 * ```
 */
export const deriveTiming = ({
	stopGraceMs,
	serverDrainMs,
	addressTtlMaxMs,
}: PlatformLimits): GatewayTiming => {
	const exitMarginMs = Math.min(EXIT_MARGIN_MS, stopGraceMs * MAX_EXIT_SHARE);
	const stopDeadlineMs = stopGraceMs - exitMarginMs;
	const entryDrainMs = stopDeadlineMs * (1 - IN_FLIGHT_SHARE);
	return {
		...DEFAULT_GATEWAY_TIMING,
		stopDeadlineMs,
		entryDrainMs,
		...(serverDrainMs !== undefined && {
			leavingServerUseMs: Math.floor(serverDrainMs * LEAVING_USE_SHARE),
		}),
		addressTtlMs: Math.min(
			DEFAULT_GATEWAY_TIMING.addressTtlMs,
			addressTtlMaxMs,
			Math.floor(entryDrainMs / (TTL_OVERRUN_FACTOR + 0.3)),
		),
	};
};

/** Least number of shards; a power of two spreads evenly over any small number of disks. */
const MIN_SHARD_COUNT = 4;

/**
 * Derives the replication settings that tolerate the simultaneous loss of any `lostDisks` disks.
 *
 * @example
 * ```ts
 * deriveReplication({lostDisks: 1}); // {factor: 3, minShardCount: 4}
 * ```
 */
export const deriveReplication = ({
	lostDisks,
}: {
	lostDisks: number;
}): {factor: number; minShardCount: number} => ({
	factor: 2 * Math.max(1, lostDisks) + 1,
	minShardCount: MIN_SHARD_COUNT,
});
