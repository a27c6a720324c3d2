import {once} from 'node:events';
import {
	type AddressInfo,
	createServer,
	type Server,
	type Socket,
} from 'node:net';
import {Agent, request} from 'undici';
import {afterEach, describe, expect, it} from 'vitest';
import {
	CONNECTION_RESET_CODE,
	createUpstreamConnector,
} from './create-upstream-connector.ts';

describe('createUpstreamConnector', () => {
	let server: Server | undefined;
	let agent: Agent | undefined;

	afterEach(async () => {
		await agent?.destroy();
		server?.close();
	});

	/** Sends a request to a server that writes `head` and half of a body, and then ends the connection. */
	const readBody = async (
		head: string,
		end: (socket: Socket) => void,
		pauseMs = 30,
	): Promise<string> => {
		server = createServer((socket) => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				socket.write(`HTTP/1.1 200 OK\r\n${head}\r\nhalf`);
				if (pauseMs === 0) {
					end(socket);
				} else {
					setTimeout(() => {
						end(socket);
					}, pauseMs);
				}
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		agent = new Agent({connect: createUpstreamConnector({timeoutMs: 1000})});
		const {body} = await request(`http://127.0.0.1:${port}/`, {
			dispatcher: agent,
		});
		return body.text();
	};

	describe('a response that ends with its connection', () => {
		const cases = ['', 'Connection: close\r\n'].flatMap((head) =>
			[0, 30].map((pauseMs) => ({head, pauseMs})),
		);
		for (const {head, pauseMs} of cases) {
			const headName = head === '' ? 'no header' : 'Connection: close';
			const name = `${headName}, ${pauseMs} ms after the last bytes`;

			it(`fails when the connection is reset: ${name}`, async () => {
				// Guards against a truncated response that is taken for complete.
				const reading = readBody(
					head,
					(socket) => {
						socket.resetAndDestroy();
					},
					pauseMs,
				);
				await expect(reading).rejects.toMatchObject({
					code: CONNECTION_RESET_CODE,
				});
			});

			it(`is complete when the connection is closed: ${name}`, async () => {
				// Guards against a response without a length that never counts as complete.
				const reading = readBody(
					head,
					(socket) => {
						socket.end();
					},
					pauseMs,
				);
				expect(await reading).toBe('half');
			});
		}
	});

	it('reports a reset during a response with a length', async () => {
		const reading = readBody('Content-Length: 8\r\n', (socket) => {
			socket.resetAndDestroy();
		});
		await expect(reading).rejects.toMatchObject({code: CONNECTION_RESET_CODE});
	});
});
