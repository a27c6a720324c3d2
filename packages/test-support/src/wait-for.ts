/**
 * Polls a condition until it returns a truthy value, and returns that value. An error thrown by the
 * condition counts as unfulfilled.
 *
 * @throws Error with the last error or value after the timeout.
 * @example
 * ```ts
 * const leader = await waitFor('a leader', async () => readLeader());
 * ```
 */
export const waitFor = async <Value>(
	what: string,
	condition: () => Promise<Value> | Value,
	{timeoutMs = 20_000, intervalMs = 50} = {},
): Promise<NonNullable<Value>> => {
	const deadline = Date.now() + timeoutMs;
	let last = 'nothing';
	for (;;) {
		try {
			const value = await condition();
			if (value) {
				return value;
			}

			last = JSON.stringify(value) ?? String(value);
		} catch (error) {
			last = error instanceof Error ? error.message : String(error);
		}

		if (Date.now() > deadline) {
			throw new Error(
				`Waited ${timeoutMs} ms for ${what}; the last result was: ${last}`,
			);
		}

		await new Promise((resolve) => {
			setTimeout(resolve, intervalMs);
		});
	}
};
