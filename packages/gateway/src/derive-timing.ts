import {
	DEFAULT_GATEWAY_TIMING,
	type GatewayTiming,
} from './gateway-settings.ts';

/** What the surroundings of a deployment prescribe. */
export type SurroundingBounds = {
	/** Time between SIGTERM and SIGKILL. */
	stopGraceMs: number;
	/** Longest time for which callers keep addresses, whatever the answer says. */
	addressTtlMaxMs: number;
};

/** Time that a process needs to end after its last request. */
const EXIT_MARGIN_MS = 700;

/** Some callers keep an answer three times as long as it says. */
const TTL_OVERSTAY = 3;

/** Part of the grace time that is kept for the requests under way. */
const FINISH_SHARE = 0.3;

/**
 * Derives the times of a stop and of address answers: an entry daemon that stops goes on serving for as
 * long as callers may use its address, and still has time to finish.
 *
 * @example
 * ```ts
 * const timing = deriveTiming({stopGraceMs: 8000, addressTtlMaxMs: 5000});
 * ```
 */
export const deriveTiming = ({
	stopGraceMs,
	addressTtlMaxMs,
}: SurroundingBounds): GatewayTiming => {
	const stopDeadlineMs = Math.max(0, stopGraceMs - EXIT_MARGIN_MS);
	const entryDrainMs = stopDeadlineMs * (1 - FINISH_SHARE);
	return {
		...DEFAULT_GATEWAY_TIMING,
		stopDeadlineMs,
		entryDrainMs,
		addressTtlMs: Math.min(
			DEFAULT_GATEWAY_TIMING.addressTtlMs,
			addressTtlMaxMs,
			Math.floor(entryDrainMs / (TTL_OVERSTAY + 0.3)),
		),
	};
};

/** Shards of a new deployment; a power of two, so that they spread evenly over any small number of disks. */
const SHARD_COUNT = 4;

/**
 * Derives how programs are replicated so that any `lostDisks` of their disks may be lost at once.
 *
 * @example
 * ```ts
 * deriveReplication({lostDisks: 1}); // {factor: 3, shardCount: 4}
 * ```
 */
export const deriveReplication = ({
	lostDisks,
}: {
	lostDisks: number;
}): {factor: number; shardCount: number} => ({
	factor: 2 * Math.max(1, lostDisks) + 1,
	shardCount: SHARD_COUNT,
});
