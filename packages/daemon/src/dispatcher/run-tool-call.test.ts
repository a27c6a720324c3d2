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
import {createCallRun} from './call-run.fixture.ts';
import {runToolCall} from './run-tool-call.ts';
import {createUpstreamAgent} from './upstream-client.ts';

const ANSWER_LIMIT_BYTES = 4 * 1024 * 1024;

describe('runToolCall', () => {
	let server: Server | undefined;
	let dispatcher: Agent | undefined;

	afterEach(async () => {
		await dispatcher?.destroy();
		server?.close();
	});

	/** Calls a service that answers with raw bytes. */
	const call = async (
		answer: (socket: Socket) => void,
		{isIdempotent = false} = {},
	) => {
		server = createServer((socket) => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				answer(socket);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		dispatcher = createUpstreamAgent();
		return runToolCall({
			dispatcher,
			address: `http://127.0.0.1:${port}`,
			run: createCallRun({
				idempotent: isIdempotent,
				target: {service: 'desk', operation: 'charge'},
			}),
			answerSizeBytes: ANSWER_LIMIT_BYTES,
		});
	};

	it('ends early at an answer without an end, and closes its connection', async () => {
		// Guards against one faulty service that fills the memory of the daemon.
		let write: EndlessWrite | undefined;
		const end = await call((socket) => {
			socket.write('HTTP/1.1 200 OK\r\n\r\n');
			write = sendWithoutEnd(socket, Buffer.alloc(65_536, 'a'));
		});
		expect(end).toMatchObject({
			type: 'done',
			result: {outcome: {status: 'failed', reason: 'answer-too-large'}},
		});
		await expect.poll(() => write?.isClosed).toBe(true);
		expect(write!.sentBytes).toBeLessThan(32 * 1024 * 1024);
	});

	describe('an answer without a length', () => {
		const sendHalf = (socket: Socket) => {
			socket.write('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf');
			setTimeout(() => {
				socket.resetAndDestroy();
			}, 30);
		};

		it('that is reset is not recorded as the answer of a call that may run once', async () => {
			// Guards against half an answer that is stored in the history as a whole one.
			const end = await call(sendHalf);
			expect(end).toMatchObject({
				type: 'done',
				result: {
					content: '',
					outcome: {
						status: 'failed',
						verdict: 'may-have-run',
						reason: 'answer-lost',
					},
				},
			});
		});

		it('that is reset is lost for an idempotent call, which may be sent again', async () => {
			const end = await call(sendHalf, {isIdempotent: true});
			expect(end).toEqual({type: 'lost', reason: 'answer-lost'});
		});

		it('is whole when its connection is closed', async () => {
			const end = await call((socket) => {
				socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole');
			});
			expect(end).toMatchObject({
				type: 'done',
				result: {content: 'whole', outcome: {status: 'answered'}},
			});
		});
	});
});
