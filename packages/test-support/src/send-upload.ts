import {request} from 'node:http';

/** What a caller received. */
export type ReceivedAnswer = {
	/** `undefined` if no head of a response arrived. */
	status: number | undefined;
	body: string;
	/** Whether the response ended as its framing announced. */
	isComplete: boolean;
};

/**
 * Sends a POST request on a connection of its own and reads the answer until it ends or breaks off.
 *
 * @param address - host and port.
 * @example
 * ```ts
 * const {status, isComplete} = await sendUpload('127.0.0.1:8080', {path: '/', headers: {}, body});
 * ```
 */
export const sendUpload = async (
	address: string,
	{
		path,
		headers,
		body,
	}: {path: string; headers: Record<string, string>; body: Uint8Array},
): Promise<ReceivedAnswer> => {
	const [host, port] = address.split(':');
	return new Promise((resolve) => {
		const answer: ReceivedAnswer = {
			status: undefined,
			body: '',
			isComplete: false,
		};
		const outgoing = request(
			{host, port: Number(port), method: 'POST', path, headers, agent: false},
			(response) => {
				answer.status = response.statusCode;
				response.setEncoding('latin1');
				response.on('data', (chunk: string) => {
					answer.body += chunk;
				});
				response.on('error', () => undefined);
				response.once('close', () => {
					resolve({...answer, isComplete: response.complete});
				});
			},
		);
		outgoing.on('error', () => {
			resolve(answer);
		});
		outgoing.end(body);
	});
};
