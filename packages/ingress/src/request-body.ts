import {messageOf} from '@marjoramcove/errors';

/** A body that is read piece by piece while it is written to a server. */
export type StreamedBody = {
	lengthBytes: number;
	/** Starts reading; each attempt to send the request reads the body anew. */
	read: () => AsyncIterable<Uint8Array>;
};

export type RequestBody = Uint8Array | StreamedBody;

/** Code of the failure of an exchange whose own body could not be read, which says nothing about the server. */
export const BODY_UNREADABLE_CODE = 'REQUEST_BODY_UNREADABLE';

const createUnreadableError = (message: string, cause?: unknown): Error =>
	Object.assign(new Error(message, {cause}), {code: BODY_UNREADABLE_CODE});

/**
 * Reads a body and checks that it has the announced length.
 *
 * @throws Error with the code {@link BODY_UNREADABLE_CODE} if it cannot be read or has another length.
 */
export async function* readStreamedBody({
	lengthBytes,
	read,
}: StreamedBody): AsyncGenerator<Uint8Array> {
	let sizeBytes = 0;
	try {
		for await (const chunk of read()) {
			sizeBytes += chunk.length;
			yield chunk;
		}
	} catch (error) {
		throw createUnreadableError(messageOf(error), error);
	}

	if (sizeBytes !== lengthBytes) {
		throw createUnreadableError(
			`The body has ${sizeBytes} bytes instead of ${lengthBytes}.`,
		);
	}
}
