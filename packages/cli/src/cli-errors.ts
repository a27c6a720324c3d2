import {
	type ErrorBody,
	fromErrorBody,
	MarjoramcoveError,
	RefusedError,
	ValidationError,
} from '@marjoramcove/errors';

/** No daemon could be reached; nothing was sent. */
export const createUnreachableError = (tried: string[]): MarjoramcoveError =>
	new RefusedError(`No daemon answered; tried ${tried.join('; ')}.`, {
		reason: 'no-daemon-reached',
		hint: 'Check the addresses (--address or MARJORAMCOVE_ADDRESS) and that the daemons run.',
	});

/** The answer of a request that was sent did not arrive. */
export const createLostAnswerError = (
	what: string,
	detail: string,
	hint: string,
): MarjoramcoveError =>
	new MarjoramcoveError(`The answer to ${what} was lost: ${detail}.`, {
		reason: 'answer-lost',
		verdict: 'may-have-run',
		hint,
	});

/** Bad usage of the command line. */
export const createUsageError = (message: string): MarjoramcoveError =>
	new ValidationError(message, 'See marjoramcove --help.');

/** Turns the body of an error answer into an error; a body of another form becomes a plain failure. */
export const parseErrorAnswer = (
	status: number,
	text: string,
): MarjoramcoveError => {
	try {
		const {error} = JSON.parse(text) as {error: ErrorBody};
		if (typeof error.reason === 'string') {
			return fromErrorBody(error);
		}
	} catch {
		// The body is reported below as it is.
	}

	return new MarjoramcoveError(
		`The daemon answered status ${status}: ${text.slice(0, 200)}`,
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
 * Text of an error for a terminal: what was wrong, whether the request may have run, what to do next.
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
	return `error: ${message} [internal-error]\nThe request may have run.\nReport this with the command that you ran.\n`;
};

/** The same as a JSON document, for --output json. */
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
