import type {Output} from './output.ts';

const INITIAL_DELAY_MS = 2000;
const INTERVAL_MS = 2000;

/**
 * Runs a task and, once it has taken two seconds, writes a progress line every two seconds.
 *
 * @example
 * ```ts
 * await showProgress(output, () => 'waiting for d3 to drain', async () => waitForDrain());
 * ```
 */
export const showProgress = async <Result>(
	output: Output,
	describe: () => string,
	task: () => Promise<Result>,
): Promise<Result> => {
	const startMs = performance.now();
	const report = () => {
		const seconds = Math.round((performance.now() - startMs) / 1000);
		output.writeError(`${describe()} (${seconds} s)\n`);
	};

	let interval: NodeJS.Timeout | undefined;
	const first = setTimeout(() => {
		report();
		interval = setInterval(report, INTERVAL_MS);
	}, INITIAL_DELAY_MS);
	try {
		return await task();
	} finally {
		clearTimeout(first);
		clearInterval(interval);
	}
};
