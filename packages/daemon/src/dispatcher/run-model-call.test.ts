import {once} from 'node:events';
import {
	type AddressInfo,
	createServer,
	type Server,
	type Socket,
} from 'node:net';
import type {Agent} from 'undici';
import {afterEach, describe, expect, it} from 'vitest';
import type {CallPayload, Grant} from '../call-contracts.ts';
import type {DaemonContext} from '../daemon-context.ts';
import {CallRun} from './call-run.ts';
import {runModelCall} from './run-model-call.ts';
import {createUpstreamAgent} from './upstream-client.ts';

const context = {
	settings: {
		timing: {streamSilenceMs: 5000},
		limits: {answerSizeBytes: 1024 * 1024},
	},
	retries: {increment: () => undefined},
	logger: {info: () => undefined},
} as unknown as DaemonContext;

const createRun = (): CallRun =>
	new CallRun({
		grant: {
			programId: 'p-1',
			requestId: 'r-1',
			attempt: 1,
			target: {model: 'm'},
			upstreamId: 'engine-1',
			maxTokens: 10,
			timeoutMs: 10_000,
		} as unknown as Grant,
		payload: {messages: [], parameters: {}, prefix: ''},
	});

describe('runModelCall', () => {
	let server: Server | undefined;
	let dispatcher: Agent | undefined;

	afterEach(async () => {
		await dispatcher?.destroy();
		server?.close();
	});

	const TOKEN =
		'data: {"choices":[{"delta":{"content":"xxxxxxxxxxxxxxxx"}}]}\n\n';

	it.each([
		['an event', 'a'.repeat(65_536)],
		['lines of an event', 'id: 1\n'.repeat(10_000)],
		['events', TOKEN.repeat(1000)],
	])(
		'ends early at a stream without an end, and closes its connection: %s',
		async (_name, piece) => {
			// Guards against one faulty engine that fills the memory of the daemon.
			let isClosed = false;
			let sentBytes = 0;
			server = createServer((socket: Socket) => {
				socket.on('error', () => undefined);
				socket.on('close', () => {
					isClosed = true;
				});
				socket.once('data', () => {
					socket.write(
						`HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n`,
					);
					const fill = () => {
						do {
							sentBytes += piece.length;
						} while (!socket.destroyed && socket.write(piece));
					};

					socket.on('drain', fill);
					fill();
				});
			});
			server.listen(0, '127.0.0.1');
			await once(server, 'listening');
			const {port} = server.address() as AddressInfo;
			dispatcher = createUpstreamAgent();
			const end = await runModelCall({
				context,
				dispatcher,
				address: `http://127.0.0.1:${port}`,
				run: createRun(),
			});
			expect(end).toEqual({type: 'lost', reason: 'answer-too-large'});
			await expect.poll(() => isClosed).toBe(true);
			expect(sentBytes).toBeLessThan(64 * 1024 * 1024);
		},
	);
});
