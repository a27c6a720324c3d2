/** Shortest interval; daemons that know less of each other overload a server unaware of each other. */
const MIN_INTERVAL_MS = 100;

/** Longest interval, so that a load report is never older than two of them while one is lost. */
const MAX_INTERVAL_MS = 400;

/** Load reports per second that a deployment exchanges, however many daemons it has. */
const MAX_REPORTS_PER_SECOND = 500;

/**
 * Derives the interval at which each of `daemonCount` daemons reports its load. With many daemons, each
 * one contributes little to the load of a server, so that older reports mislead less.
 *
 * @example
 * ```ts
 * deriveExchangeIntervalMs(8); // 100
 * deriveExchangeIntervalMs(150); // 300
 * ```
 */
export const deriveExchangeIntervalMs = (daemonCount: number): number =>
	Math.min(
		MAX_INTERVAL_MS,
		Math.max(MIN_INTERVAL_MS, (daemonCount * 1000) / MAX_REPORTS_PER_SECOND),
	);
