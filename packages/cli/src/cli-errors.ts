import {
	type ErrorBody,
	fromErrorBody,
	MarjoramcoveError,
	RefusedError,
	ValidationError,
} from '@marjoramcove/errors';

/** Creates the error for a request that no daemon answered. */
export const createUnreachableError = (tried: string[]): MarjoramcoveError =>
	new RefusedError(`No daemon answered; tried ${tried.join('; ')}.`, {
		reason: 'no-daemon-reached',
		hint: 'Check the addresses (--address or MARJORAMCOVE_ADDRESS) and that the daemons are running.',
	});

/** Creates the error for a request that was sent but whose response did not arrive. */
export const createLostResponseError = (
	operation: string,
	detail: string,
	hint: string,
): MarjoramcoveError =>
	new MarjoramcoveError(`The response to ${operation} was lost: ${detail}.`, {
		reason: 'answer-lost',
		verdict: 'may-have-run',
		hint,
	});

/** Creates the error for invalid command-line usage. */
export const createUsageError = (message: string): MarjoramcoveError =>
	new ValidationError(message, 'See marjoramcove --help.');

/** Parses the body of an error response; any other body becomes an `unexpected-answer` error. */
export const parseErrorResponse = (
	status: number,
	text: string,
): MarjoramcoveError => {
	try {
		const {error} = JSON.parse(text) as {error: ErrorBody};
		if (typeof error.reason === 'string') {
			return fromErrorBody(error);
		}
	} catch {
		// The body is not an error document; its text goes into the error below.
	}

	return new MarjoramcoveError(
		`The daemon responded with status ${status}: ${text.slice(0, 200)}`,
		{
			reason: 'unexpected-answer',
			verdict: status < 500 ? 'not-run' : 'may-have-run',
			hint: 'Check that the address belongs to a marjoramcoved daemon.',
		},
	);
};

const verdictTexts = {
	'not-run': 'The request did not run.',
	'may-have-run': 'The request may have run.',
	ran: 'The request ran.',
} as const;

/**
 * Formats an error for a terminal: the cause, whether the request may have run, and what to do next.
 *
 * @example
 * ```ts
 * output.writeError(formatError(error));
 * ```
 */
export const formatError = (error: unknown): string => {
	if (error instanceof MarjoramcoveError) {
		return `error: ${error.message} [${error.reason}]\n${verdictTexts[error.verdict]}\n${error.hint}\n`;
	}

	const message = error instanceof Error ? error.message : String(error);
	return `error: ${message} [internal-error]\nThe request may have run.\nReport this error together with the command.\n`;
};

/** Describes an error as a JSON document, for `--output json`. */
export const describeError = (error: unknown): Record<string, unknown> =>
	error instanceof MarjoramcoveError
		? {
				error: {
					message: error.message,
					reason: error.reason,
					verdict: error.verdict,
					hint: error.hint,
					...(error.data && {data: error.data}),
				},
			}
		: {
				error: {
					message: error instanceof Error ? error.message : String(error),
					reason: 'internal-error',
					verdict: 'may-have-run',
				},
			};
