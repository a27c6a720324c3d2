import {messageOf, reasonOf} from '@marjoramcove/errors';
import type {BodyMemory, CallerExchange} from '@marjoramcove/ingress';
import type {Refusal} from './refuse-request.ts';

/** Retry delay for a body that found no memory: about the time that a large body needs to be forwarded. */
export const BODY_MEMORY_RETRY_MS = 500;

/**
 * Reads the body of a request, or tells why it is refused. The connection stays open after a refusal for lack of
 * memory, since closing it with unread bytes would reset it and could take the response along.
 */
export const readRequestBody = async (
	exchange: CallerExchange,
	limitBytes: number,
	memory: BodyMemory,
): Promise<{bytes: Buffer} | Refusal> => {
	try {
		return {bytes: await exchange.readBody(limitBytes, memory)};
	} catch (error) {
		const reason = reasonOf(error);
		if (reason === 'body-memory-exhausted') {
			return {
				status: 503,
				reason,
				message: `${messageOf(error)} The request has not run.`,
				retryAfterMs: BODY_MEMORY_RETRY_MS,
			};
		}

		exchange.closeAfterResponse();
		return {
			status: reason === 'body-too-large' ? 413 : 400,
			reason,
			message: messageOf(error),
		};
	}
};
