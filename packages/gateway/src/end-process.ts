import {setTimeout as sleep} from 'node:timers/promises';

/** Longest wait for file operations that are still in progress; it has to fit between the drain and the kill. */
const HELPER_WAIT_MS = 150;

const POLL_INTERVAL_MS = 10;

/** Names of the requests that occupy a helper thread: files, look-ups of names, compression, hashes. */
const HELPER_REQUESTS = /^(?:FSReq|GetAddrInfoReq|GetNameInfoReq|Zlib)|Job$/v;

/**
 * Waits for a moment until no helper thread of this process has work.
 *
 * @returns `false` if one still has, for example in a sync of a disk that does not answer.
 * @example
 * ```ts
 * if (!(await areHelperThreadsIdle())) {
 * 	endAtOnce();
 * }
 * ```
 */
export const areHelperThreadsIdle = async (): Promise<boolean> => {
	const deadlineMs = performance.now() + HELPER_WAIT_MS;
	for (;;) {
		const requests = process.getActiveResourcesInfo();
		if (!requests.some((name) => HELPER_REQUESTS.test(name))) {
			return true;
		}

		if (performance.now() > deadlineMs) {
			return false;
		}

		await sleep(POLL_INTERVAL_MS);
	}
};

/**
 * Ends this process without waiting for its helper threads. `process.exit` joins them without a limit, so that
 * one that hangs keeps the process running until the platform kills it.
 *
 * @example
 * ```ts
 * endAtOnce();
 * ```
 */
export const endAtOnce = (): void => {
	process.kill(process.pid, 'SIGKILL');
};
