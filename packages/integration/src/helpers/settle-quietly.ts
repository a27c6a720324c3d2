/** Waits for a task whose failure is part of the test; undefined when it fails. */
export const settleQuietly = async <Result>(
	task: Promise<Result>,
): Promise<Result | undefined> => {
	try {
		return await task;
	} catch {
		return undefined;
	}
};
