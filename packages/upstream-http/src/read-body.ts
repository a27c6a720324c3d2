import {MarjoramcoveError} from '@marjoramcove/errors';

/** A response is longer than the limit of its reader. */
export class ResponseTooLargeError extends MarjoramcoveError {
	constructor(limitBytes: number) {
		super(`The response has more than ${limitBytes} bytes.`, {
			reason: 'response-too-large',
			verdict: 'may-have-run',
			hint: 'Check the upstream, which may send without end.',
		});
	}
}

/**
 * Reads a response body. A body over the limit is not read further, which closes its connection.
 *
 * @throws ResponseTooLargeError when the body is over the limit; the error of the connection when it breaks off.
 * @example
 * ```ts
 * const {body} = await request(url);
 * const bytes = await readBody(body, 64 * 1024);
 * ```
 */
export const readBody = async (
	body: AsyncIterable<Uint8Array>,
	limitBytes: number,
): Promise<Buffer> => {
	const chunks: Uint8Array[] = [];
	let sizeBytes = 0;
	for await (const chunk of body) {
		sizeBytes += chunk.length;
		if (sizeBytes > limitBytes) {
			throw new ResponseTooLargeError(limitBytes);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

/**
 * Reads a response body as JSON.
 *
 * @throws ResponseTooLargeError when the body is over the limit; SyntaxError when it is not JSON.
 * @example
 * ```ts
 * const report = await readJson(body, 64 * 1024);
 * ```
 */
export const readJson = async (
	body: AsyncIterable<Uint8Array>,
	limitBytes: number,
): Promise<unknown> => {
	const bytes = await readBody(body, limitBytes);
	return JSON.parse(bytes.toString()) as unknown;
};
