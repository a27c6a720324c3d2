/** Bounds of the delay between attempts. */
export type BackoffOptions = {
	initialMs: number;
	maximumMs: number;
};

/**
 * Computes an exponential delay with full jitter, so that clients that lost the same server do not
 * reconnect at the same moment.
 *
 * @param attempt - number of failed attempts so far, from 0.
 * @param random - number in [0, 1).
 * @example
 * ```ts
 * const delayMs = backoffDelay(3, {initialMs: 50, maximumMs: 2000}, Math.random());
 * ```
 */
export const backoffDelay = (
	attempt: number,
	{initialMs, maximumMs}: BackoffOptions,
	random: number,
): number => {
	const ceilingMs = Math.min(maximumMs, initialMs * 2 ** Math.min(attempt, 30));
	return initialMs / 2 + random * (ceilingMs - initialMs / 2);
};
