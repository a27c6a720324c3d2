import {RefusedError} from '@marjoramcove/errors';
import type {CallHandlers} from '@marjoramcove/transport';
import {describe, expect, it} from 'vitest';
import type {CallState, DispatchEvent} from '../call-contracts.ts';
import type {DaemonContext} from '../daemon-context.ts';
import type {GroupClientService} from '../services/group-client-service.ts';
import type {PeersService} from '../services/peers-service.ts';
import {CallFollower} from './call-follower.ts';
import {createAcceptInput} from './simulated-call.fixture.ts';

const input = createAcceptInput('p0-a', 'r1', 1000);

const granted = (attempt: number): CallState =>
	({
		status: 'granted',
		grant: {
			attempt,
			kind: 'model',
			timeoutMs: 1000,
			dispatcherId: 'd1',
			turn: 1,
		},
		payload: {messages: [], parameters: {}, prefix: ''},
	}) as unknown as CallState;

const chunk = (offset: number, text: string): DispatchEvent => ({
	type: 'chunk',
	offset,
	text,
});

const final = (content: string): DispatchEvent => ({
	type: 'final',
	outcome: {status: 'answered', verdict: 'ran', contentType: 'text/plain'},
	content,
	finishReason: 'stop',
});

/** Follows a call whose attempts produce the given events, and records what the caller receives. */
const follow = async (
	attempts: DispatchEvent[][],
	resume?: {attempt: number; offset: number},
	reportError?: Error,
) => {
	const log: string[] = [];
	const reports: unknown[] = [];
	let attempt = 0;
	const groups = {
		async call(_group: unknown, path: string, body: unknown) {
			if (path === 'programs.reportLost') {
				reports.push(body);
				if (reportError) {
					throw reportError;
				}
			}

			return granted(attempt + 1);
		},
	} as unknown as GroupClientService;
	const peers = {
		async subscribe(
			_daemon: unknown,
			_path: unknown,
			_body: unknown,
			handlers: CallHandlers,
		) {
			for (const event of attempts[attempt++]!) {
				handlers.onData(event);
			}

			return () => undefined;
		},
	} as unknown as PeersService;
	const context = {
		retries: {increment: () => undefined},
	} as unknown as DaemonContext;
	const call = await new CallFollower(context, groups, peers).follow(
		input,
		{
			onText: (text) => log.push(text),
			onRestart: () => log.push('<restart>'),
		},
		{signal: new AbortController().signal, ...(resume && {resume})},
	);
	return {log, reports, call};
};

describe('CallFollower', () => {
	it('reports a lost attempt with the delivered text and continues after it', async () => {
		// Guards against text that is delivered twice or not at all after a retry.
		const {log, reports} = await follow([
			[chunk(0, 'abc'), {type: 'lost', reason: 'engine-unreachable'}],
			[chunk(0, 'abcdef'), final('abcdef')],
		]);
		expect(log).toEqual(['abc', 'def']);
		expect(reports).toMatchObject([{attempt: 1, partial: 'abc'}]);
	});

	it('never reports a granted call as not-run', async () => {
		// Guards against the refusal of a later attempt being reported as a refusal of the whole call.
		await expect(
			follow(
				[[chunk(0, 'abc'), {type: 'lost', reason: 'engine-unreachable'}]],
				undefined,
				new RefusedError('None.', {
					reason: 'no-leader',
					hint: '',
				}),
			),
		).rejects.toMatchObject({reason: 'no-leader', verdict: 'may-have-run'});
	});

	it('restarts when a later attempt differs from the delivered text', async () => {
		const {log} = await follow([
			[chunk(0, 'abc'), {type: 'lost', reason: 'engine-unreachable'}],
			[chunk(0, 'xyz'), final('xyz')],
		]);
		expect(log).toEqual(['abc', '<restart>', 'xyz']);
	});

	it('restarts when the whole answer is shorter than the delivered text', async () => {
		const {log} = await follow([
			[chunk(0, 'abc'), {type: 'lost', reason: 'engine-unreachable'}],
			[final('ab')],
		]);
		expect(log).toEqual(['abc', '<restart>', 'ab']);
	});

	it('continues the same attempt from the offset of the caller', async () => {
		const {log} = await follow([[chunk(0, 'abcdef'), final('abcdef')]], {
			attempt: 1,
			offset: 4,
		});
		expect(log).toEqual(['ef']);
	});

	it('starts over when the caller has text of another attempt', async () => {
		const {log} = await follow([[chunk(0, 'abcdef'), final('abcdef')]], {
			attempt: 7,
			offset: 4,
		});
		expect(log).toEqual(['<restart>', 'abcdef']);
	});
});
