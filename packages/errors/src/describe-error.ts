import {MarjoramcoveError} from './marjoramcove-error.ts';

/**
 * Reason of an error, for counters and logs.
 *
 * @example
 * ```ts
 * logger.warn({event: 'call-failed', reason: reasonOf(error)});
 * ```
 */
export const reasonOf = (error: unknown): string =>
	error instanceof MarjoramcoveError ? error.reason : 'internal-error';

/**
 * Message of anything that was thrown, for logs.
 *
 * @example
 * ```ts
 * logger.warn({event: 'call-failed', error: messageOf(error)});
 * ```
 */
export const messageOf = (error: unknown): string =>
	error instanceof Error ? error.message : String(error);
