import type {SyncOutput} from './peer-messages.ts';

/** A sync at the time of its sending. */
export type SentSync = {
	sentAtMs: number;
	/** Longest time for which the parent was asked to hold the response. */
	waitMs: number;
	/** Number of jumps of the clocks of this daemon so far. */
	clockJumps: number;
};

/**
 * Returns the monotonic time at which the confirmation in a response was made, or an earlier one. It is measured
 * from the time of sending, so that the round trip does not extend the lease. The time is added for which the
 * parent held the response, as the parent measured it: the confirmation was that old when the response was sent,
 * not when the sync was. Otherwise confirmations would seem older than the age up to which an unknown key is
 * refused for good.
 *
 * @example
 * ```ts
 * dateConfirmation(
 * 	{sentAtMs: 1000, waitMs: 500, clockJumps: 0},
 * 	{confirmedAgeMs: 200, heldMs: 500},
 * 	1510,
 * ); // 1300
 * ```
 */
export const dateConfirmation = (
	{sentAtMs, waitMs}: SentSync,
	{
		confirmedAgeMs = Number.POSITIVE_INFINITY,
		heldMs = 0,
	}: Pick<SyncOutput, 'confirmedAgeMs' | 'heldMs'>,
	nowMs: number,
): number => {
	// A parent cannot hold a response for longer than it was asked to.
	const countedMs = Math.min(Math.max(0, heldMs), waitMs);
	return Math.min(sentAtMs + countedMs, nowMs) - confirmedAgeMs;
};
