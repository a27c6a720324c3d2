import {
	createServer,
	type Server,
	type Socket,
	type AddressInfo,
} from 'node:net';
import {afterEach, describe, expect, it} from 'vitest';
import {BODY_UNREADABLE_CODE, type RequestBody} from './request-body.ts';
import {UpstreamClient, type UpstreamFailure} from './upstream-client.ts';

type Outcome = {
	status?: number;
	body: string;
	failure?: UpstreamFailure;
	isComplete: boolean;
};

describe('UpstreamClient', () => {
	let server: Server | undefined;
	let client: UpstreamClient | undefined;

	afterEach(async () => {
		await client?.close();
		server?.close();
	});

	/** Starts a server that responds with raw bytes; `onData` receives each chunk of a request. */
	const startServer = async (
		onData: (text: string, socket: Socket) => void,
	): Promise<string> => {
		server = createServer((socket) => {
			socket.on('data', (chunk) => {
				onData(chunk.toString('latin1'), socket);
			});
			socket.on('error', () => undefined);
		});
		await new Promise<void>((resolve) => {
			server!.listen(0, '127.0.0.1', resolve);
		});
		return `127.0.0.1:${(server.address() as AddressInfo).port}`;
	};

	const send = async (
		address: string,
		target = '/',
		beforeSend?: () => UpstreamFailure | undefined,
		body: RequestBody = Buffer.from('body'),
	): Promise<Outcome> => {
		client ??= new UpstreamClient();
		return new Promise((resolve) => {
			const outcome: Outcome = {body: '', isComplete: false};
			client!.send(
				{key: address, address, maxConnections: 1},
				{
					method: 'POST',
					target,
					headers: [['X-Case', 'kept']],
					body,
				},
				{
					beforeSend,
					onStart({status}) {
						outcome.status = status;
					},
					onData(chunk) {
						outcome.body += Buffer.from(chunk).toString('latin1');
					},
					onEnd() {
						outcome.isComplete = true;
						resolve(outcome);
					},
					onFailure(failure) {
						outcome.failure = failure;
						resolve(outcome);
					},
				},
			);
		});
	};

	it('writes nothing of a request that is refused before it is sent', async () => {
		// Guards against a check that comes too late, or that breaks the request next in line.
		let seen = '';
		const address = await startServer((text, socket) => {
			seen += text;
			setTimeout(() => {
				socket.write('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n');
			}, 20);
		});
		let checks = 0;
		const failure: UpstreamFailure = {
			verdict: 'not-run',
			code: 'refused',
			message: 'Refused.',
		};
		const [first, refused, last] = await Promise.all([
			send(address, '/first'),
			send(address, '/refused', () => {
				// The connection is available, because the first request has ended.
				checks += seen.includes('/first') ? 1 : 0;
				return failure;
			}),
			send(address, '/last', () => undefined),
		]);
		expect(first.isComplete).toBe(true);
		expect(refused.failure).toEqual(failure);
		expect(last.isComplete).toBe(true);
		expect(checks).toBe(1);
		expect(seen).not.toContain('/refused');
		expect(seen).toContain('/last');
	});

	it('sends the method, target, headers and body unchanged', async () => {
		let seen = '';
		const address = await startServer((text, socket) => {
			seen += text;
			if (seen.endsWith('body')) {
				socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
			}
		});
		const {status, body} = await send(address, '/a%2F?b=%00');
		expect({status, body}).toEqual({status: 200, body: 'ok'});
		expect(seen).toMatch(/^POST \/a%2F\?b=%00 HTTP\/1\.1\r\n/u);
		expect(seen).toContain('X-Case: kept');
	});

	describe('a streamed body', () => {
		it('is sent with its length', async () => {
			let seen = '';
			const address = await startServer((text, socket) => {
				seen += text;
				if (seen.endsWith('two')) {
					socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
				}
			});
			const {isComplete} = await send(address, '/', undefined, {
				lengthBytes: 6,
				async *read() {
					yield Buffer.from('one');
					yield Buffer.from('two');
				},
			});
			expect(isComplete).toBe(true);
			expect(seen).toMatch(/\r\ncontent-length: 6\r\n/iu);
			expect(seen.endsWith('\r\n\r\nonetwo')).toBe(true);
		});

		it('fails with may-have-run and ends the connection when it cannot be read', async () => {
			// Guards against a server that takes a part of a body for the whole.
			let seen = '';
			let isClosed = false;
			const address = await startServer((text, socket) => {
				seen += text;
				socket.once('close', () => {
					isClosed = true;
				});
			});
			const {failure, isComplete} = await send(address, '/', undefined, {
				lengthBytes: 6,
				async *read() {
					yield Buffer.from('one');
					throw new Error('No further page.');
				},
			});
			expect(isComplete).toBe(false);
			expect(failure).toMatchObject({
				verdict: 'may-have-run',
				code: BODY_UNREADABLE_CODE,
			});
			await expect.poll(() => isClosed).toBe(true);
			expect(seen.endsWith('\r\n\r\none')).toBe(true);
		});

		it('is not read further when the server answers early and resets', async () => {
			let pages = 0;
			const address = await startServer((_text, socket) => {
				socket.pause();
				socket.write('HTTP/1.1 200 OK\r\n\r\nhalf');
				setTimeout(() => {
					socket.resetAndDestroy();
				}, 20);
			});
			const {isComplete, failure} = await send(address, '/', undefined, {
				lengthBytes: 1000 * 65_536,
				async *read() {
					for (; pages < 1000; pages++) {
						yield Buffer.alloc(65_536);
					}
				},
			});
			expect(isComplete).toBe(false);
			expect(failure?.verdict).toBe('may-have-run');
			expect(pages).toBeLessThan(1000);
		});
	});

	it('fails with not-run when no connection can be established', async () => {
		const address = await startServer(() => undefined);
		await new Promise((resolve) => {
			server!.close(resolve);
		});
		const {failure} = await send(address);
		expect(failure).toMatchObject({verdict: 'not-run', code: 'ECONNREFUSED'});
	});

	it('fails with not-run when the address is invalid', async () => {
		// Guards against an odd entry in the list of servers whose requests count as possibly run.
		const {failure} = await send('127.0.0.1:99999');
		expect(failure).toMatchObject({
			verdict: 'not-run',
			code: 'INVALID_ADDRESS',
		});
	});

	describe('an incomplete or invalid response', () => {
		const responses: Array<[string, string]> = [
			[
				'shorter than its Content-Length',
				'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab',
			],
			[
				'without its last chunk',
				'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n',
			],
			['that is not HTTP', 'gibberish\r\n\r\n'],
			['that is empty', ''],
		];
		for (const [name, bytes] of responses) {
			it(`fails with may-have-run: ${name}`, async () => {
				const address = await startServer((_text, socket) => {
					socket.end(bytes);
				});
				const {failure, isComplete} = await send(address);
				expect(isComplete).toBe(false);
				expect(failure?.verdict).toBe('may-have-run');
			});
		}
	});

	describe('a response without a length', () => {
		const heads = ['', 'Connection: close\r\n'];
		for (const head of heads) {
			const name = head === '' ? 'plain' : 'with Connection: close';
			const sendTo = async (end: (socket: Socket) => void) => {
				const address = await startServer((text, socket) => {
					if (text.includes('body')) {
						socket.write(`HTTP/1.1 200 OK\r\n${head}\r\nhalf`);
						setTimeout(() => {
							end(socket);
						}, 30);
					}
				});
				return send(address);
			};

			it(`fails with may-have-run when its connection is reset: ${name}`, async () => {
				// Guards against a truncated response that the caller takes for complete.
				const {isComplete, failure} = await sendTo((socket) => {
					socket.resetAndDestroy();
				});
				expect(isComplete).toBe(false);
				expect(failure).toMatchObject({
					verdict: 'may-have-run',
					code: 'CONNECTION_RESET',
				});
			});

			it(`is complete when its connection is closed: ${name}`, async () => {
				const {isComplete, body} = await sendTo((socket) => {
					socket.end();
				});
				expect({isComplete, body}).toEqual({isComplete: true, body: 'half'});
			});
		}
	});

	it('does not treat bytes after a complete response as the next response', async () => {
		let requests = 0;
		const address = await startServer((text, socket) => {
			if (!text.includes('body')) {
				return;
			}

			requests++;
			socket.write(
				requests === 1
					? 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra'
					: 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo',
			);
		});
		const first = await send(address);
		const second = await send(address);
		expect([first.body, second.body]).toEqual(['one', 'two']);
	});

	it('reports an idle connection only between requests', async () => {
		let duringRequest: boolean | undefined;
		const address = await startServer((text, socket) => {
			if (text.includes('body')) {
				duringRequest = client!.hasIdleConnection(address);
				socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
			}
		});
		client = new UpstreamClient();
		expect(client.hasIdleConnection(address)).toBe(false);
		await send(address);
		expect(duringRequest).toBe(false);
		await expect.poll(() => client!.hasIdleConnection(address)).toBe(true);
	});

	it('closes the connection of a cancelled exchange, so that the server can stop processing it', async () => {
		let resolveClosed: () => void;
		const closed = new Promise<void>((resolve) => {
			resolveClosed = resolve;
		});
		client = new UpstreamClient();
		const address = await startServer((_text, socket) => {
			socket.on('close', () => {
				resolveClosed();
			});
			exchange.cancel();
		});
		const exchange = client.send(
			{key: address, address, maxConnections: 1},
			{method: 'GET', target: '/', headers: [], body: Buffer.alloc(0)},
			{
				onStart: () => undefined,
				onData: () => undefined,
				onEnd: () => undefined,
				onFailure: () => undefined,
			},
		);
		await closed;
	});
});
