import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, expect, it} from 'vitest';
import type {CallerExchange} from './caller-exchange.ts';
import {IngressServer, type MalformedRequest} from './ingress-server.ts';

const BODY_LIMIT_BYTES = 100;

/** Sends raw bytes on a new connection and resolves with all received bytes once it is closed. */
const sendRaw = async (port: number, text: string): Promise<string> =>
	new Promise((resolve, reject) => {
		const socket = connect(port, '127.0.0.1', () => {
			socket.write(text, 'latin1');
		});
		let received = '';
		socket.setEncoding('latin1');
		socket.on('data', (chunk: string) => {
			received += chunk;
		});
		socket.on('close', () => {
			resolve(received);
		});
		socket.on('error', reject);
	});

describe('IngressServer', () => {
	let server: IngressServer;
	let port: number;
	let seen: Array<{target: string; body: string}>;
	let fieldCounts: number[];
	let malformed: MalformedRequest[];

	const serve = async (exchange: CallerExchange) => {
		try {
			const body = await exchange.readBody(BODY_LIMIT_BYTES);
			seen.push({target: exchange.target, body: body.toString('latin1')});
			fieldCounts.push(exchange.headers.length);
			exchange.respond(200, [['X-Answer', '1']], Buffer.from('fine'));
		} catch {
			exchange.closeAfterResponse();
			exchange.respond(413, [], Buffer.alloc(0));
		}
	};

	beforeEach(async () => {
		seen = [];
		fieldCounts = [];
		malformed = [];
		server = new IngressServer({
			address: '127.0.0.1:0',
			onRequest(exchange) {
				void serve(exchange);
			},
			onMalformed(request) {
				malformed.push(request);
			},
		});
		server.applyLimits({
			headerSizeBytes: 16_384,
			bodySizeBytes: BODY_LIMIT_BYTES,
			headerTimeoutMs: 600,
			idleTimeoutMs: 300,
		});
		port = await server.start();
	});

	afterEach(async () => {
		await server.stop();
	});

	it('passes on the target and the body unchanged', async () => {
		const received = await sendRaw(
			port,
			'POST /a%2Fb?x=%00&y HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\n\u0000\u00FF\r\n0\r\n\r\n',
		);
		expect(received).toMatch(/^HTTP\/1\.1 200 /u);
		expect(seen).toEqual([{target: '/a%2Fb?x=%00&y', body: 'abc\u0000\u00FF'}]);
	});

	it('completes a response with its end, although its headers announce a length', async () => {
		// Guards against a caller that sees the whole response while the daemon still records it.
		let exchange: CallerExchange | undefined;
		const streams = new IngressServer({
			address: '127.0.0.1:0',
			onRequest(started) {
				exchange = started;
				started.start(200, [['Content-Length', '4']]);
				started.write(Buffer.from('body'));
			},
		});
		const response = await fetch(`http://127.0.0.1:${await streams.start()}/`);
		let isComplete = false;
		const reading = (async () => {
			const text = await response.text();
			isComplete = true;
			return text;
		})();
		await sleep(50);
		expect(isComplete).toBe(false);
		exchange!.end();
		expect(await reading).toBe('body');
		await streams.stop();
	});

	describe('an ambiguous or malformed head', () => {
		const heads: Array<[string, string]> = [
			[
				'both Content-Length and Transfer-Encoding',
				'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n',
			],
			[
				'two Content-Length headers',
				'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 39\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n',
			],
			[
				'a Content-Length that is not a number',
				'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +4\r\n\r\nabcd',
			],
			[
				'a space before the colon of a header',
				'POST / HTTP/1.1\r\nHost: h\r\nContent-Length : 4\r\n\r\nabcd',
			],
			[
				'an unknown transfer coding',
				'POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n',
			],
			['no Host header', 'GET / HTTP/1.1\r\n\r\n'],
			[
				'a control character in the target',
				'GET /\u0001 HTTP/1.1\r\nHost: h\r\n\r\n',
			],
			['no request line', 'hello\r\n\r\n'],
		];
		it.each(heads)(
			'is answered with a single 4xx response and not passed on: %s',
			async (_name, text) => {
				const received = await sendRaw(port, text);
				expect(received).toMatch(/^HTTP\/1\.1 4\d\d /u);
				expect(received.match(/HTTP\/1\.1/gu)).toHaveLength(1);
				expect(seen).toEqual([]);
			},
		);
	});

	it('responds 413 to a body over the limit and closes the connection', async () => {
		const received = await sendRaw(
			port,
			`POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n${'x'.repeat(101)}`,
		);
		expect(received).toMatch(/^HTTP\/1\.1 413 /u);
		expect(seen).toEqual([]);
	});

	it('responds 431 to a head over the limit of the parser', async () => {
		const received = await sendRaw(
			port,
			`GET / HTTP/1.1\r\nHost: h\r\nX: ${'x'.repeat(300_000)}\r\n\r\n`,
		);
		expect(received).toMatch(/^HTTP\/1\.1 431 /u);
		expect(malformed[0]).toMatchObject({status: 431});
	});

	describe('a head with many short fields', () => {
		const createFields = (count: number) => 'a: b\r\n'.repeat(count);

		it('is passed on with all its fields while its size is within the limit', async () => {
			// Guards against fields that are dropped after the first 1,000, such as those that name the history.
			const received = await sendRaw(
				port,
				`GET /many HTTP/1.1\r\nHost: h\r\n${createFields(2500)}X-Last: kept\r\nConnection: close\r\n\r\n`,
			);
			expect(received).toMatch(/^HTTP\/1\.1 200 /u);
			expect(seen).toEqual([{target: '/many', body: ''}]);
			expect(fieldCounts).toEqual([2503]);
		});

		it('is refused as a whole above it', async () => {
			const received = await sendRaw(
				port,
				`GET /many HTTP/1.1\r\nHost: h\r\n${createFields(4000)}X-Last: dropped\r\n\r\n`,
			);
			expect(received).toMatch(/^HTTP\/1\.1 431 /u);
			expect(seen).toEqual([]);
			expect(malformed[0]).toMatchObject({code: 'TOO_MANY_FIELDS'});
		});

		it('is refused as not run on a connection from before the limit was raised', async () => {
			const socket = connect(port, '127.0.0.1');
			await once(socket, 'connect');
			const answered = once(socket, 'data');
			socket.write('GET /before HTTP/1.1\r\nHost: h\r\n\r\n');
			await answered;
			server.applyLimits({
				headerSizeBytes: 65_536,
				bodySizeBytes: BODY_LIMIT_BYTES,
				headerTimeoutMs: 600,
				idleTimeoutMs: 300,
			});
			const request = `GET /many HTTP/1.1\r\nHost: h\r\nConnection: close\r\n${createFields(4000)}\r\n`;
			const refused = once(socket, 'data');
			socket.write(request);
			const [chunk] = (await refused) as [Buffer];
			expect(chunk.toString()).toMatch(/^HTTP\/1\.1 503 /u);
			expect(await sendRaw(port, request)).toMatch(/^HTTP\/1\.1 200 /u);
			expect(seen.map(({target}) => target)).toEqual(['/before', '/many']);
		});
	});

	it('responds 408 and closes the connection when the head does not arrive in time', async () => {
		const received = await sendRaw(
			port,
			'GET / HTTP/1.1\r\nHost: h\r\nX-Slow: ',
		);
		expect(received).toMatch(/^HTTP\/1\.1 408 /u);
		expect(seen).toEqual([]);
	});

	it('writes no error response into a response that is in progress', async () => {
		const received = await sendRaw(
			port,
			'GET /first HTTP/1.1\r\nHost: h\r\n\r\nnonsense\r\n\r\n',
		);
		expect(received).toMatch(/^HTTP\/1\.1 200 /u);
		expect(received.endsWith('fine')).toBe(true);
		expect(received.match(/HTTP\/1\.1/gu)).toHaveLength(1);
	});

	describe('drain', () => {
		it('answers the requests that arrived just before, then refuses connections', async () => {
			// Guards against a planned stop that cuts off requests that had just been accepted.
			await server.stop();
			let release: () => void;
			const released = new Promise<void>((resolve) => {
				release = resolve;
			});
			let accepted = 0;
			server = new IngressServer({
				address: '127.0.0.1:0',
				async onRequest(exchange) {
					accepted++;
					if (accepted === 20) {
						release();
					}

					await new Promise((resolve) => {
						setTimeout(resolve, 100);
					});
					exchange.respond(200, [], Buffer.from('whole'));
				},
			});
			port = await server.start();
			const answers = Array.from({length: 20}, async () =>
				sendRaw(port, 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'),
			);
			await released;
			expect(await server.drain(5000)).toBe(true);
			for (const answer of await Promise.all(answers)) {
				expect(answer).toMatch(/^HTTP\/1\.1 200 .*\r\n\r\nwhole$/su);
			}

			await expect(
				sendRaw(port, 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'),
			).rejects.toMatchObject({code: 'ECONNREFUSED'});
		});

		it('waits for a request whose head is still arriving', async () => {
			const socket = connect(port, '127.0.0.1');
			let received = '';
			socket.on('data', (chunk) => {
				received += chunk.toString('latin1');
			});
			socket.write('GET / HTTP/1.1\r\nHo');
			await new Promise((resolve) => {
				setTimeout(resolve, 50);
			});
			const drained = server.drain(5000);
			socket.write('st: a\r\n\r\n');
			expect(await drained).toBe(true);
			expect(received).toContain('fine');
		});

		it('gives up after its time limit', async () => {
			await server.stop();
			server = new IngressServer({
				address: '127.0.0.1:0',
				onRequest() {
					// Never answers.
				},
			});
			port = await server.start();
			const answer = sendRaw(port, 'GET / HTTP/1.1\r\nHost: a\r\n\r\n');
			await expect.poll(() => server.activeRequests).toBe(1);
			expect(await server.drain(50)).toBe(false);
			await server.stop();
			expect(await answer).toBe('');
		});
	});
});

describe('CallerExchange', () => {
	it('reports immediately when the caller disconnects before the response', async () => {
		let resolveDisconnected: (value: boolean) => void;
		const disconnected = new Promise<boolean>((resolve) => {
			resolveDisconnected = resolve;
		});
		const server = new IngressServer({
			address: '127.0.0.1:0',
			onRequest(exchange) {
				exchange.onDisconnect(() => {
					resolveDisconnected(true);
				});
				socket.destroy();
			},
		});
		const port = await server.start();
		const socket = connect(port, '127.0.0.1', () => {
			socket.write('GET / HTTP/1.1\r\nHost: h\r\n\r\n');
		});
		expect(await disconnected).toBe(true);
		await server.stop();
	});

	it('aborts a response so that it is visibly incomplete', async () => {
		const server = new IngressServer({
			address: '127.0.0.1:0',
			onRequest(exchange) {
				exchange.start(200, []);
				exchange.write(Buffer.from('part'));
				setTimeout(() => {
					exchange.abort();
				}, 20);
			},
		});
		const port = await server.start();
		const received = await sendRaw(port, 'GET / HTTP/1.1\r\nHost: h\r\n\r\n');
		expect(received).toContain('part');
		expect(received).not.toMatch(/0\r\n\r\n$/u);
		await server.stop();
	});
});
