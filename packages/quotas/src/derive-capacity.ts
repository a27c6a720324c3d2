import type {QuotaLimit, QuotaTolerance} from './quota-messages.ts';

/** Time after the sending of a message for which an entry daemon may use the credit that it asked for. */
export const CREDIT_LIFETIME_MS = 300;

/**
 * Share of the tolerance that a bucket may hold beyond the burst, so that requests that arrive unevenly
 * below the rate are not refused. The rest covers the network delay between entry daemon and server.
 */
const USED_TOLERANCE_SHARE = 0.75;

/** Every bucket can hold at least one credit, or nothing could ever be granted. */
const MIN_EXTRA_CREDITS = 1;

/**
 * Returns the number of credits that the bucket of a team holds at most. With it, the requests of a window
 * are at most capacity + rate x (window + credit lifetime), which stays within the tolerance.
 *
 * @example
 * ```ts
 * deriveCapacity(
 * 	{requestsPerSecond: 100, burstRequests: 0},
 * 	{windowMs: 5000, overrunShare: 0.1, overrunRequests: 20},
 * ); // 30
 * ```
 */
export const deriveCapacity = (
	{requestsPerSecond, burstRequests}: QuotaLimit,
	{windowMs, overrunShare, overrunRequests}: QuotaTolerance,
): number => {
	const windowRequests = (requestsPerSecond * windowMs) / 1000 + burstRequests;
	const shiftedRequests = (requestsPerSecond * CREDIT_LIFETIME_MS) / 1000;
	const toleratedRequests =
		overrunShare * windowRequests + overrunRequests - shiftedRequests;
	return (
		burstRequests +
		Math.max(MIN_EXTRA_CREDITS, toleratedRequests * USED_TOLERANCE_SHARE)
	);
};
