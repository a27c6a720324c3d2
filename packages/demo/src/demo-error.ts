/** A step of the demo did not give the expected result. */
export class DemoError extends Error {
	constructor(step: string, expected: string, found: unknown) {
		super(`${step}: expected ${expected}, found ${JSON.stringify(found)}`);
		this.name = 'DemoError';
	}
}

/** Throws a {@link DemoError} unless the condition holds. */
export const expectStep = (
	holds: boolean,
	step: string,
	expected: string,
	found: unknown,
): void => {
	if (!holds) {
		throw new DemoError(step, expected, found);
	}
};
