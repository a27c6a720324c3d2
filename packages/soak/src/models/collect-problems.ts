import {InvariantViolationError} from '@marjoramcove/errors';

/**
 * Runs a model and returns its problems. If a violated invariant stops a state machine, its name is
 * added to the problems that the model found before.
 *
 * @example
 * ```ts
 * const problems = runChecked(model, choices);
 * ```
 */
export const collectProblems = <Choice>(
	model: {
		readonly problems: ReadonlySet<string>;
		run(choices: Choice[]): string[];
	},
	choices: Choice[],
): string[] => {
	try {
		return model.run(choices);
	} catch (error) {
		if (error instanceof InvariantViolationError) {
			return [...model.problems, error.invariant];
		}

		throw error;
	}
};
