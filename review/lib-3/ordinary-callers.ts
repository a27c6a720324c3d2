import type {Deployment} from '../../platform/src/testing/deployment.ts';
import {sleep, type CaseContext} from './run-case.ts';
import {HOST} from './small-deployment.ts';

/** Deadline of an ordinary request; the sheets state 1,200 ms for an urgent look-up. */
const DEADLINE_MS = 1200;

/** Sends one ordinary request on a new connection and returns its status, or why it got none. */
const sendOrdinary = async (
	deployment: Deployment,
	entry: string,
	requestId: string,
): Promise<string> => {
	const answer = (async () => {
		try {
			const {status} = await deployment.call(entry, 'front', '/lookups/1', {
				headers: {
					host: HOST,
					'request-id': requestId,
					'deadline-ms': String(DEADLINE_MS),
				},
			});
			return String(status);
		} catch (error) {
			return (error as Error).message;
		}
	})();
	const timeout = (async () => {
		await sleep(DEADLINE_MS + 1000);
		return 'no answer';
	})();
	return Promise.race([answer, timeout]);
};

/**
 * Sends ordinary requests one after the other, each on a new connection.
 *
 * @returns how many of them got a success.
 */
export const countServed = async (
	{record}: CaseContext,
	deployment: Deployment,
	{entry, count, label}: {entry: string; count: number; label: string},
): Promise<number> => {
	let served = 0;
	for (let index = 0; index < count; index++) {
		const requestId = `${label}-${index}`;
		const result = await sendOrdinary(deployment, entry, requestId);
		record(`ordinary request ${requestId} at ${entry}: ${result}`);
		served += result === '200' ? 1 : 0;
		await sleep(500);
	}

	return served;
};
