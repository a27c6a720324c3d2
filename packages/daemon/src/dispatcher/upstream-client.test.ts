import {once} from 'node:events';
import {
	type AddressInfo,
	createServer,
	type Server,
	type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {UpstreamResource} from '@marjoramcove/configuration';
import {asId, type UpstreamId} from '@marjoramcove/types';
import {afterEach, describe, expect, it} from 'vitest';
import type {DaemonContext} from '../daemon-context.ts';
import {createCallRun} from './call-run.fixture.ts';
import {UpstreamClient} from './upstream-client.ts';

const context = {
	settings: {
		timing: {streamSilenceMs: 5000},
		limits: {answerSizeBytes: 1024 * 1024},
	},
	retries: {increment: () => undefined},
	logger: {info: () => undefined, debug: () => undefined},
} as unknown as DaemonContext;

const answerWith = (status: string, body: string): string =>
	`HTTP/1.1 ${status}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

const streamOf = (content: string): string => {
	const delta = {choices: [{delta: {content}, finish_reason: 'stop'}]};
	return `data: ${JSON.stringify(delta)}\n\ndata: [DONE]\n\n`;
};

/** Time after which a connection that is kept is used again. */
const IDLE_MS = 30;

describe('UpstreamClient', () => {
	const sockets = new Set<Socket>();
	let server: Server | undefined;
	let client: UpstreamClient | undefined;

	afterEach(async () => {
		await client?.stop();
		for (const socket of sockets) {
			socket.destroy();
		}

		server?.close();
	});

	/** Starts an upstream that repeats its previous answer on a connection before it writes the next one. */
	const startUpstream = async (
		type: 'engine' | 'service',
		answers: string[],
	): Promise<UpstreamResource> => {
		server = createServer((socket) => {
			sockets.add(socket);
			socket.on('error', () => undefined);
			let previous = '';
			socket.on('data', (chunk) => {
				if (chunk.includes('\r\n\r\n')) {
					const answer = answers.shift()!;
					socket.write(previous + answer);
					previous = answer;
				}
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const {port} = server.address() as AddressInfo;
		client = new UpstreamClient(context);
		return {
			name: asId<UpstreamId>('u1'),
			spec: {type, address: `http://127.0.0.1:${port}`},
		} as unknown as UpstreamResource;
	};

	describe('an answer that is written once more on its connection', () => {
		it('is not the answer of the next idempotent tool call', async () => {
			// Guards against the answer of another call that is recorded in a history.
			const upstream = await startUpstream('service', [
				answerWith('200 OK', 'first'),
				answerWith('200 OK', 'second'),
			]);
			const call = async () =>
				client!.call(
					createCallRun({
						idempotent: true,
						target: {service: 'desk', operation: 'find'},
					}),
					upstream,
				);
			expect(await call()).toMatchObject({result: {content: 'first'}});
			await sleep(IDLE_MS);
			expect(await call()).toMatchObject({result: {content: 'second'}});
		});

		it.each([
			{name: 'a stream', answer: answerWith('200 OK', streamOf('first'))},
			{name: 'a refusal', answer: answerWith('400 Bad Request', '{}')},
			{name: 'an overload', answer: answerWith('503 Unavailable', '{}')},
		])('is not the answer of the next model call: $name', async ({answer}) => {
			// Guards against text of another program, and against "not run" for a call that an engine runs.
			const upstream = await startUpstream('engine', [
				answer,
				answerWith('200 OK', streamOf('second')),
			]);
			const call = async () =>
				client!.call(createCallRun({target: {model: 'm'}}), upstream);
			await call();
			await sleep(IDLE_MS);
			expect(await call()).toMatchObject({
				type: 'done',
				result: {content: 'second', outcome: {status: 'answered'}},
			});
		});
	});
});
