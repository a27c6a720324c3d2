/** Waits for a task that a test expects to fail at times; returns undefined when it fails. */
export const ignoreFailure = async <Result>(
	task: Promise<Result>,
): Promise<Result | undefined> => {
	try {
		return await task;
	} catch {
		return undefined;
	}
};
