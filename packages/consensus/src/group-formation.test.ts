import {asId, type DaemonId, type DiskId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {GroupFormation} from './group-formation.ts';
import type {GroupHost, PeerAddress} from './group-host.ts';
import type {Formation} from './log-records.ts';
import {EMPTY_MEMBERSHIP, type Membership} from './membership.ts';
import type {PeerMessage} from './peer-messages.ts';
import {VirtualTime} from './virtual-time.ts';

const replica = (name: string, disk = `disk-${name}`) => ({
	daemonId: asId<DaemonId>(name),
	diskId: asId<DiskId>(disk),
});

const initialMembership: Membership = {
	voters: [replica('a'), replica('b'), replica('c')],
	learners: [],
};

/** Creates the formation of daemon `name`. `finishSave` completes the pending writes. */
const createFormation = (name: string, isPristine = true) => {
	const sent: Array<{to: PeerAddress; message: PeerMessage}> = [];
	const saved: Formation[] = [];
	const saves: Array<() => void> = [];
	let joined: Membership | undefined;
	const formation = new GroupFormation({
		host: {
			self: replica(name),
			clock: new VirtualTime(),
			send(to: PeerAddress, message: PeerMessage) {
				sent.push({to, message});
			},
		} as unknown as GroupHost,
		initialVoters: ['a', 'b', 'c'].map((id) => ({
			daemonId: asId<DaemonId>(id),
		})),
		formation: {},
		hasLeader: () => false,
		isPristine: () => isPristine,
		currentMembership: () => joined ?? EMPTY_MEMBERSHIP,
		async save(record) {
			saved.push(record);
			await new Promise<void>((resolve) => {
				saves.push(resolve);
			});
		},
		join(membership) {
			joined = membership;
		},
	});
	return {
		formation,
		sent,
		saved,
		joined: () => joined,
		async finishSave() {
			for (const resolve of saves.splice(0)) {
				resolve();
			}

			await new Promise((resolve) => {
				setImmediate(resolve);
			});
		},
	};
};

const result = (formedBy: string, membership = initialMembership) => ({
	type: 'form-result' as const,
	formedBy: asId<DiskId>(formedBy),
	membership,
	current: membership,
});

describe('GroupFormation', () => {
	it('sends a promise only after it is durable', async () => {
		const b = createFormation('b');
		b.formation.receive(replica('a'), {type: 'form-query'});
		expect(b.sent).toEqual([]);
		await b.finishSave();
		expect(b.sent).toEqual([
			{to: replica('a'), message: {type: 'form-promise'}},
		]);
	});

	it('accepts no Raft messages between the promise and the result', async () => {
		const b = createFormation('b');
		expect(b.formation.acceptsRaftMessages).toBe(true);
		b.formation.receive(replica('a'), {type: 'form-query'});
		await b.finishSave();
		expect(b.formation.acceptsRaftMessages).toBe(false);
		b.formation.receive(replica('a'), result('disk-a'));
		expect(b.formation.acceptsRaftMessages).toBe(false);
		await b.finishSave();
		expect(b.formation.acceptsRaftMessages).toBe(true);
		expect(b.joined()).toEqual(initialMembership);
	});

	it('sends no promise once it has voted or accepted an entry', async () => {
		const b = createFormation('b', false);
		b.formation.receive(replica('a'), {type: 'form-query'});
		await b.finishSave();
		expect(b.sent).toEqual([]);
		expect(b.saved).toEqual([]);
	});

	it('ignores queries and late results of a coordinator disk that was replaced', async () => {
		const b = createFormation('b');
		b.formation.receive(replica('a', 'disk-old'), {type: 'form-query'});
		await b.finishSave();
		b.formation.receive(replica('a', 'disk-new'), {type: 'form-query'});
		await b.finishSave();
		b.sent.length = 0;
		b.formation.receive(replica('a', 'disk-old'), {type: 'form-query'});
		b.formation.receive(replica('a', 'disk-old'), result('disk-old'));
		await b.finishSave();
		expect(b.sent).toEqual([]);
		expect(b.joined()).toBeUndefined();
	});

	it('forms the group when every other initial voter has promised', async () => {
		const a = createFormation('a');
		a.formation.receive(replica('b'), {type: 'form-promise'});
		expect(a.saved).toEqual([]);
		a.formation.receive(replica('c'), {type: 'form-promise'});
		await a.finishSave();
		expect(a.joined()).toEqual(initialMembership);
	});

	it('never forms a second initial membership after the coordinator lost its disk', async () => {
		const a = createFormation('a');
		const formedMembership = {
			voters: [replica('a', 'disk-lost'), replica('b'), replica('c')],
			learners: [],
		};
		a.formation.receive(replica('b'), result('disk-lost', formedMembership));
		a.formation.receive(replica('b'), {type: 'form-promise'});
		a.formation.receive(replica('c'), {type: 'form-promise'});
		await a.finishSave();
		expect(a.saved).toEqual([]);
		expect(a.joined()).toBeUndefined();
	});
});
