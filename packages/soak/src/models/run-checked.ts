import {InvariantViolationError} from '@marjoramcove/errors';

/**
 * Runs a model and returns its problems. An invariant that stops a machine counts under its name,
 * together with what the model had noticed before.
 *
 * @example
 * ```ts
 * const problems = runChecked(model, choices);
 * ```
 */
export const runChecked = <Choice>(
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
