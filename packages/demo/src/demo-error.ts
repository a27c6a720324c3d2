/** Thrown when a step of the demo does not give the expected result. */
export class DemoError extends Error {
	constructor(step: string, expected: string, found: unknown) {
		super(`${step}: expected ${expected}, found ${JSON.stringify(found)}`);
		this.name = 'DemoError';
	}
}

/** Throws a {@link DemoError} unless the expectation is met. */
export const expectStep = (
	isMet: boolean,
	step: string,
	expected: string,
	found: unknown,
): void => {
	if (!isMet) {
		throw new DemoError(step, expected, found);
	}
};
