import {setTimeout as sleep} from 'node:timers/promises';
import {type Answer, errorOf} from '@marjoramcove/test-support';

/** Whether a daemon refused a request without running it, so that a caller may retry it. */
export const isRefused = (answer: Answer): boolean =>
	[429, 503].includes(answer.status) && errorOf(answer)?.verdict === 'not-run';

/**
 * Retries a request while it is refused without being run or gets no response, as a caller does.
 * Returns the last answer after the timeout.
 */
export const retryRefused = async (
	send: () => Promise<Answer>,
	timeoutMs = 20_000,
): Promise<Answer> => {
	const deadline = Date.now() + timeoutMs;
	for (;;) {
		let answer: Answer;
		try {
			answer = await send();
		} catch (error) {
			answer = {
				status: 0,
				body: {error: {reason: 'no-answer', message: String(error)}},
			};
		}

		const isFinal = answer.status !== 0 && !isRefused(answer);
		if (isFinal || Date.now() > deadline) {
			return answer;
		}

		await sleep(100);
	}
};
