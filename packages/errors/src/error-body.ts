import type {Verdict} from '@marjoramcove/types';
import {MarjoramcoveError} from './marjoramcove-error.ts';

/** Wire format of an error, inside `{error: ...}`. */
export type ErrorBody = {
	message: string;
	type: string;
	reason: string;
	verdict: Verdict;
	hint: string;
	data?: Record<string, unknown>;
};

/**
 * Converts any thrown value to its wire format, without a stack trace.
 *
 * @param unknownVerdict - verdict for a value that is not a {@link MarjoramcoveError}.
 * @example
 * ```ts
 * response.end(JSON.stringify({error: toErrorBody(error)}));
 * ```
 */
export const toErrorBody = (
	error: unknown,
	unknownVerdict: Verdict = 'may-have-run',
): ErrorBody => {
	if (error instanceof MarjoramcoveError) {
		return {
			message: error.message,
			type: error.name,
			reason: error.reason,
			verdict: error.verdict,
			hint: error.hint,
			...(error.data && {data: error.data}),
		};
	}

	return {
		message: error instanceof Error ? error.message : String(error),
		type: 'InternalError',
		reason: 'internal-error',
		verdict: unknownVerdict,
		hint: 'See the log of the daemon.',
	};
};

/**
 * Restores an error from its wire format.
 *
 * @example
 * ```ts
 * throw fromErrorBody(body.error);
 * ```
 */
export const fromErrorBody = (body: ErrorBody): MarjoramcoveError =>
	Object.assign(
		new MarjoramcoveError(body.message, {
			reason: body.reason,
			verdict: body.verdict,
			hint: body.hint,
			data: body.data,
		}),
		{name: body.type},
	);
