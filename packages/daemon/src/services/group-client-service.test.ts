import {MarjoramcoveError, RefusedError} from '@marjoramcove/errors';
import {asId, type GroupId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import type {DaemonContext} from '../daemon-context.ts';
import {GroupClientService} from './group-client-service.ts';
import type {PeersService} from './peers-service.ts';

const lostError = new MarjoramcoveError('Lost.', {
	reason: 'peer-link-lost',
	verdict: 'may-have-run',
	hint: '',
});
const createRefusal = (data?: Record<string, unknown>) =>
	new RefusedError('Full.', {reason: 'program-queue-full', hint: '', data});
const createNotLeader = (leaderId: string) =>
	new RefusedError('Not leader.', {
		reason: 'not-leader',
		hint: '',
		data: {leaderId},
	});

/** Calls a group whose replicas answer with the given outcomes in order. */
const callWith = async (outcomes: unknown[]) => {
	const calledDaemons: string[] = [];
	const peers = {
		async call(daemonId: string) {
			calledDaemons.push(daemonId);
			const outcome = outcomes.shift();
			if (outcome instanceof Error) {
				throw outcome;
			}

			return outcome;
		},
	} as unknown as PeersService;
	const client = new GroupClientService({
		settings: {
			cluster: {
				peers: [
					{daemonId: 'd1', state: true},
					{daemonId: 'd2', state: true},
				],
			},
			timing: {requestTimeoutMs: 1000},
		},
		retries: {increment: () => undefined},
	} as unknown as DaemonContext);
	await client.start({get: () => peers as never});
	const call = client.call(
		asId<GroupId>('shard-0'),
		'programs.accept',
		{},
		{timeoutMs: 5000},
	);
	return {call, calledDaemons};
};

describe('GroupClientService', () => {
	it('redirects the call to the leader that a replica names', async () => {
		const {call, calledDaemons} = await callWith([
			createNotLeader('d9'),
			'done',
		]);
		expect(await call).toBe('done');
		expect(calledDaemons[1]).toBe('d9');
	});

	it('retries a call with an unknown outcome, because its ids make it idempotent', async () => {
		const {call} = await callWith([lostError, 'done']);
		expect(await call).toBe('done');
	});

	it('reports a refusal of the first attempt as not-run', async () => {
		const {call} = await callWith([createRefusal()]);
		await expect(call).rejects.toMatchObject({verdict: 'not-run'});
	});

	it('does not report not-run when an earlier attempt may still arrive', async () => {
		// Guards against a call that runs after the caller was told that it would never run.
		const {call} = await callWith([lostError, createRefusal()]);
		await expect(call).rejects.toMatchObject({
			reason: 'program-queue-full',
			verdict: 'may-have-run',
		});
	});

	it('reports not-run when the refusal is recorded for all attempts', async () => {
		const {call} = await callWith([
			lostError,
			createRefusal({isRecorded: true}),
		]);
		await expect(call).rejects.toMatchObject({verdict: 'not-run'});
	});
});
