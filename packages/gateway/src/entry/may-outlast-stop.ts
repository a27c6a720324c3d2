/** Time that the last responses before a stop need to reach their callers. */
const RESPONSE_MARGIN_MS = 100;

/**
 * Whether a request may still be in progress when its daemon stops. Such a request is better served by
 * another daemon, because its response would be cut although it may have run.
 *
 * The load that it answers: callers that keep the address of a draining daemon and send requests to it until
 * shortly before it stops.
 *
 * @param deadlineMs - monotonic time by which the response must be complete.
 * @param stopAtMs - monotonic time at which the daemon stops; `undefined` while it is not draining.
 * @example
 * ```ts
 * mayOutlastStop(5000, 7300); // false
 * mayOutlastStop(8000, 7300); // true
 * ```
 */
export const mayOutlastStop = (
	deadlineMs: number,
	stopAtMs: number | undefined,
): boolean =>
	stopAtMs !== undefined && deadlineMs + RESPONSE_MARGIN_MS > stopAtMs;
