import {MarjoramcoveError} from './marjoramcove-error.ts';

/**
 * Returns the reason of an error, for metrics and logs; `internal-error` for other thrown values.
 *
 * @example
 * ```ts
 * logger.warn({event: 'call-failed', reason: reasonOf(error)});
 * ```
 */
export const reasonOf = (error: unknown): string =>
	error instanceof MarjoramcoveError ? error.reason : 'internal-error';

/**
 * Returns the message of any thrown value, for logs.
 *
 * @example
 * ```ts
 * logger.warn({event: 'call-failed', error: messageOf(error)});
 * ```
 */
export const messageOf = (error: unknown): string =>
	error instanceof Error ? error.message : String(error);
