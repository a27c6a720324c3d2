import {once} from 'node:events';
import {
	type AddressInfo,
	createServer,
	type Server,
	type Socket,
} from 'node:net';
import {type EndlessWrite, sendWithoutEnd} from '@marjoramcove/test-support';
import type {Agent} from 'undici';
import {afterEach, describe, expect, it} from 'vitest';
import type {DaemonContext} from '../daemon-context.ts';
import {createCallRun} from './call-run.fixture.ts';
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
			let write: EndlessWrite | undefined;
			server = createServer((socket: Socket) => {
				socket.on('error', () => undefined);
				socket.once('data', () => {
					socket.write(
						'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n',
					);
					write = sendWithoutEnd(socket, piece);
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
				run: createCallRun({target: {model: 'm'}}),
			});
			expect(end).toEqual({type: 'lost', reason: 'answer-too-large'});
			await expect.poll(() => write?.isClosed).toBe(true);
			expect(write!.sentBytes).toBeLessThan(64 * 1024 * 1024);
		},
	);
});
