import type {Verdict} from '@marjoramcove/types';

/** Fields of every error of the system. */
export type ErrorDetails = {
	/** Machine-readable code in kebab case; also used as a label of the refusal counter. */
	reason: string;
	/** Whether the request may have run. */
	verdict: Verdict;
	/** Suggested next step for the caller or operator. */
	hint: string;
	/** Additional data, such as the current revision or alternative addresses. */
	data?: Record<string, unknown>;
	cause?: unknown;
};

/**
 * Base class of all errors that reach a caller or an operator.
 *
 * @example
 * ```ts
 * throw new MarjoramcoveError('The history is larger than 4194304 bytes.', {
 * 	reason: 'history-too-large',
 * 	verdict: 'not-run',
 * 	hint: 'End the program and open a new one with a shorter history.',
 * });
 * ```
 */
export class MarjoramcoveError extends Error {
	readonly reason: string;
	readonly verdict: Verdict;
	readonly hint: string;
	readonly data: Record<string, unknown> | undefined;

	constructor(message: string, details: ErrorDetails) {
		super(message, {cause: details.cause});
		this.name = new.target.name;
		this.reason = details.reason;
		this.verdict = details.verdict;
		this.hint = details.hint;
		this.data = details.data;
	}
}
