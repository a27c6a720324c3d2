import type {QuotaLimit, QuotaTolerance} from './quota-messages.ts';

/**
 * Returns the number of requests of a team that may reach servers in any sliding window.
 *
 * @example
 * ```ts
 * windowBound(
 * 	{requestsPerSecond: 100, burstRequests: 0},
 * 	{windowMs: 5000, overrunShare: 0.1, overrunRequests: 20},
 * ); // 570
 * ```
 */
export const windowBound = (
	{requestsPerSecond, burstRequests}: QuotaLimit,
	{windowMs, overrunShare, overrunRequests}: QuotaTolerance,
): number =>
	((requestsPerSecond * windowMs) / 1000 + burstRequests) * (1 + overrunShare) +
	overrunRequests;

/**
 * Returns the largest number of requests in any sliding window.
 *
 * @param sentAtMs - times at which requests were sent, in ascending order.
 * @example
 * ```ts
 * largestWindow([0, 1000, 7000], 5000); // 2
 * ```
 */
export const largestWindow = (
	sentAtMs: readonly number[],
	windowMs: number,
): number => {
	let largest = 0;
	let first = 0;
	for (const [last, atMs] of sentAtMs.entries()) {
		while (sentAtMs[first]! <= atMs - windowMs) {
			first++;
		}

		largest = Math.max(largest, last - first + 1);
	}

	return largest;
};
