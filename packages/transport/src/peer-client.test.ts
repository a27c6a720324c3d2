import {
	createServer,
	connect,
	type Server,
	type Socket,
	type AddressInfo,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {RefusedError} from '@marjoramcove/errors';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import * as z from 'zod';
import {PeerClient, type PeerClientEvent} from './peer-client.ts';
import {DEFAULT_MAX_MESSAGE_BYTES} from './peer-link.ts';
import {createPeerRouter, type Procedures} from './peer-router.ts';
import {PeerServer} from './peer-server.ts';

/** TCP proxy. `silence()` stops forwarding on the present connections without closing them; later ones work. */
class SilencingProxy {
	/** Number of chunks that were forwarded in either direction. */
	forwardedChunks = 0;
	readonly #sockets: Socket[] = [];
	readonly #server: Server;

	constructor(targetPort: number) {
		this.#server = createServer((incoming) => {
			const outgoing = connect(targetPort, '127.0.0.1');
			incoming.pipe(outgoing).pipe(incoming);
			for (const socket of [incoming, outgoing]) {
				socket.on('data', () => {
					this.forwardedChunks++;
				});
			}

			for (const socket of [incoming, outgoing]) {
				socket.on('error', () => undefined);
				this.#sockets.push(socket);
			}
		});
	}

	async listen(): Promise<number> {
		await new Promise<void>((resolve) => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return (this.#server.address() as AddressInfo).port;
	}

	silence() {
		for (const socket of this.#sockets) {
			socket.unpipe();
			socket.pause();
		}
	}

	close() {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		this.#server.close();
	}
}

/** Calls are run by tRPC, or by the connection where the server knows the procedures. */
describe.each([{runsCallsItself: true}, {runsCallsItself: false}])(
	'PeerClient, %o',
	({runsCallsItself}) => {
		let server: PeerServer;
		let port: number;
		let runs: number;
		const clients: PeerClient[] = [];
		const openClient = (
			options: Partial<ConstructorParameters<typeof PeerClient>[0]> = {},
		) => {
			const client = new PeerClient({address: `127.0.0.1:${port}`, ...options});
			clients.push(client);
			return client;
		};

		beforeEach(async () => {
			runs = 0;
			const procedures: Procedures = {
				'echo.text': {
					kind: 'call',
					input: z.string(),
					async run(text: string) {
						runs++;
						return text;
					},
				},
				'echo.zeros': {
					kind: 'call',
					input: z.number(),
					async run(lengthBytes: number) {
						return Buffer.alloc(lengthBytes);
					},
				},
				'echo.refused': {
					kind: 'call',
					input: z.unknown(),
					async run() {
						throw new RefusedError('Full.', {reason: 'full', hint: 'Wait.'});
					},
				},
				'echo.never': {
					kind: 'call',
					input: z.unknown(),
					async run() {
						await new Promise(() => {
							// Never resolves.
						});
					},
				},
				'echo.count': {
					kind: 'stream',
					input: z.number(),
					async *run(limit: number) {
						for (let number = 0; number < limit; number++) {
							yield number;
						}
					},
				},
			};
			server = new PeerServer({
				listen: {host: '127.0.0.1', port: 0},
				router: createPeerRouter(procedures),
				...(runsCallsItself && {calls: procedures}),
				posts: {note: {input: z.string(), run: () => undefined}},
			});
			port = await server.start();
		});

		afterEach(async () => {
			for (const client of clients.splice(0)) {
				client.close();
			}

			await server.stop();
		});

		describe('call', () => {
			it('returns its own answer to each concurrent call', async () => {
				const client = openClient();
				const texts = Array.from({length: 300}, (_, index) => `text ${index}`);
				const answers = await Promise.all(
					texts.map(async (text) =>
						client.call('echo.text', text, {timeoutMs: 5000}),
					),
				);
				expect(answers).toEqual(texts);
			});

			it('passes on the reason, verdict and hint of an error of the peer', async () => {
				await expect(
					openClient().call('echo.refused', null, {timeoutMs: 5000}),
				).rejects.toMatchObject({
					reason: 'full',
					verdict: 'not-run',
					hint: 'Wait.',
				});
			});

			it('reports an unknown procedure and invalid input as not run', async () => {
				const client = openClient();
				await expect(
					client.call('echo.unknown', null, {timeoutMs: 5000}),
				).rejects.toMatchObject({verdict: 'not-run'});
				await expect(
					client.call('echo.text', 7, {timeoutMs: 5000}),
				).rejects.toMatchObject({reason: 'invalid-input', verdict: 'not-run'});
			});

			it('reports a missing answer as may-have-run, never as not-run', async () => {
				await expect(
					openClient().call('echo.never', null, {timeoutMs: 50}),
				).rejects.toMatchObject({
					reason: 'peer-timeout',
					verdict: 'may-have-run',
				});
			});

			it('reports an unreachable peer as not run', async () => {
				await expect(
					openClient({address: '127.0.0.1:1'}).call('echo.text', 'a', {
						timeoutMs: 500,
					}),
				).rejects.toMatchObject({
					reason: 'peer-unreachable',
					verdict: 'not-run',
				});
			});
		});

		describe('limits', () => {
			it('refuses to send a message above the size limit', async () => {
				await expect(
					openClient({maxMessageBytes: 1000}).call(
						'echo.text',
						'x'.repeat(1000),
						{
							timeoutMs: 5000,
						},
					),
				).rejects.toMatchObject({reason: 'peer-message-too-large'});
				expect(runs).toBe(0);
			});

			it('replaces an answer above the size limit by an error and keeps the link', async () => {
				// Guards against one answer that fails all calls of two daemons.
				const events: PeerClientEvent[] = [];
				const client = openClient({
					onEvent(event) {
						events.push(event);
					},
				});
				const other = client.call('echo.text', 'a', {timeoutMs: 5000});
				await expect(
					client.call('echo.zeros', DEFAULT_MAX_MESSAGE_BYTES + 100_000, {
						timeoutMs: 5000,
					}),
				).rejects.toMatchObject({
					reason: 'peer-answer-too-large',
					verdict: 'ran',
				});
				expect(await other).toBe('a');
				expect(
					await client.call<Uint8Array>(
						'echo.zeros',
						DEFAULT_MAX_MESSAGE_BYTES - 1000,
						{timeoutMs: 5000},
					),
				).toHaveLength(DEFAULT_MAX_MESSAGE_BYTES - 1000);
				expect(events.map(({type}) => type)).toEqual(['connected']);
			});

			it('refuses more pending calls than the limit', async () => {
				const client = openClient({maxPendingCalls: 1});
				const [first, second] = await Promise.allSettled([
					client.call('echo.never', null, {timeoutMs: 300}),
					client.call('echo.text', 'b', {timeoutMs: 5000}),
				]);
				expect(first).toMatchObject({reason: {reason: 'peer-timeout'}});
				expect(second).toMatchObject({
					reason: {reason: 'peer-queue-full', verdict: 'not-run'},
				});
			});
		});

		describe('a link that stays silent', () => {
			it('is replaced; its calls fail as may-have-run and are not sent again', async () => {
				const proxy = new SilencingProxy(port);
				const events: PeerClientEvent[] = [];
				const client = openClient({
					address: `127.0.0.1:${await proxy.listen()}`,
					heartbeatMs: 20,
					silenceMs: 100,
					onEvent: (event) => events.push(event),
				});
				await client.call('echo.text', 'before', {timeoutMs: 5000});
				proxy.silence();
				await expect(
					client.call('echo.text', 'during', {timeoutMs: 5000}),
				).rejects.toMatchObject({
					reason: 'peer-link-lost',
					verdict: 'may-have-run',
				});
				expect(await client.call('echo.text', 'after', {timeoutMs: 5000})).toBe(
					'after',
				);
				expect(runs).toBe(2);
				expect(events).toContainEqual(
					expect.objectContaining({type: 'link-closed', reason: 'silent'}),
				);
				proxy.close();
			});
		});

		describe('a link that stays silent while no answer is due', () => {
			const closeReasons = async (
				use: (client: PeerClient) => Promise<unknown>,
			) => {
				const proxy = new SilencingProxy(port);
				const events: PeerClientEvent[] = [];
				const client = openClient({
					address: `127.0.0.1:${await proxy.listen()}`,
					heartbeatMs: 50,
					silenceMs: 400,
					onEvent: (event) => events.push(event),
				});
				await client.call('echo.text', 'before', {timeoutMs: 5000});
				proxy.silence();
				await use(client);
				await vi.waitUntil(() => client.state === 'down', 5000);
				proxy.close();
				return events.flatMap((event) =>
					event.type === 'link-closed' ? [event.reason] : [],
				);
			};

			it('is closed after one-way messages', async () => {
				// Guards against one-way messages that go on into a dead connection, because fewer pings are sent.
				const reasons = closeReasons(async (client) => {
					await client.post('note', 'a');
				});
				await expect(reasons).resolves.toEqual(['silent']);
			});

			it('is closed under a call that the peer may hold', async () => {
				// Guards against a long poll that waits for its whole time on a dead connection.
				const reasons = closeReasons(async (client) => {
					await expect(
						client.call('echo.never', null, {timeoutMs: 60_000, isHeld: true}),
					).rejects.toMatchObject({reason: 'peer-link-lost'});
				});
				await expect(reasons).resolves.toEqual(['silent']);
			});
		});

		describe('an idle link', () => {
			it('exchanges no messages', async () => {
				// Guards against heartbeats of many idle links, which keep large deployments busy.
				const proxy = new SilencingProxy(port);
				const client = openClient({
					address: `127.0.0.1:${await proxy.listen()}`,
					heartbeatMs: 10,
					silenceMs: 50,
				});
				await client.call('echo.text', 'before', {timeoutMs: 5000});
				await sleep(50);
				const before = proxy.forwardedChunks;
				await sleep(200);
				expect(proxy.forwardedChunks).toBe(before);
				expect(await client.call('echo.text', 'later', {timeoutMs: 5000})).toBe(
					'later',
				);
				expect(client.state).toBe('up');
				proxy.close();
			});

			it('that became silent is replaced after the first call that gets no answer in time', async () => {
				// Guards against a retry that waits on the same silent connection.
				const proxy = new SilencingProxy(port);
				const client = openClient({
					address: `127.0.0.1:${await proxy.listen()}`,
					heartbeatMs: 100,
					silenceMs: 60_000,
				});
				await client.call('echo.text', 'before', {timeoutMs: 5000});
				await sleep(300);
				proxy.silence();
				await expect(
					client.call('echo.text', 'lost', {timeoutMs: 500}),
				).rejects.toMatchObject({verdict: 'may-have-run'});
				expect(await client.call('echo.text', 'retry', {timeoutMs: 500})).toBe(
					'retry',
				);
				proxy.close();
			});

			it('stays open after a call that a live peer does not answer in time', async () => {
				// Guards against a slow call that takes the other calls of its link with it.
				const events: PeerClientEvent[] = [];
				const client = openClient({
					heartbeatMs: 20,
					silenceMs: 60_000,
					onEvent: (event) => events.push(event),
				});
				await expect(
					client.call('echo.never', null, {timeoutMs: 400}),
				).rejects.toMatchObject({reason: 'peer-timeout'});
				expect(await client.call('echo.text', 'next', {timeoutMs: 5000})).toBe(
					'next',
				);
				expect(events.map(({type}) => type)).toEqual(['connected']);
			});
		});

		describe('subscribe', () => {
			it('delivers all data in order and then completes', async () => {
				const received: unknown[] = [];
				await new Promise<void>((resolve, reject) => {
					void openClient().subscribe('echo.count', 500, {
						onData: (data) => received.push(data),
						onError: reject,
						onComplete: resolve,
					});
				});
				expect(received).toEqual(
					Array.from({length: 500}, (_, index) => index),
				);
			});

			it('reports a lost link as an error and not as a completion', async () => {
				const client = openClient();
				const failure = new Promise((resolve, reject) => {
					void client.subscribe('echo.count', 1e9, {
						onData: () => undefined,
						onError: resolve,
						onComplete() {
							reject(new Error('completed'));
						},
					});
				});
				await client.call('echo.text', 'a', {timeoutMs: 5000});
				await server.stop();
				await expect(failure).resolves.toMatchObject({
					reason: 'peer-link-lost',
				});
				server = new PeerServer({
					listen: {host: '127.0.0.1', port: 0},
					router: createPeerRouter({}),
				});
				await server.start();
			});
		});
	},
);
