import {MarjoramcoveError} from '@marjoramcove/errors';

/** Exit codes of the command line. They are part of its public interface. */
export const exitCodes = {
	ok: 0,
	failed: 1,
	badInput: 2,
	conflict: 3,
	refused: 4,
	unknownOutcome: 5,
} as const;

const inputReasons = new Set([
	'invalid-input',
	'request-too-large',
	'unknown-key',
]);

/**
 * Exit code of an error: bad input and conflicts by reason, all others by verdict.
 *
 * @example
 * ```ts
 * process.exitCode = chooseExitCode(error);
 * ```
 */
export const chooseExitCode = (error: unknown): number => {
	if (!(error instanceof MarjoramcoveError)) {
		return exitCodes.failed;
	}

	if (inputReasons.has(error.reason)) {
		return exitCodes.badInput;
	}

	if (error.reason === 'revision-conflict') {
		return exitCodes.conflict;
	}

	if (error.verdict === 'not-run') {
		return exitCodes.refused;
	}

	return error.verdict === 'may-have-run'
		? exitCodes.unknownOutcome
		: exitCodes.failed;
};
