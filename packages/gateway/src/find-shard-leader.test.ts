import type {FleetMember} from '@marjoramcove/fleet';
import {
	asId,
	type DaemonId,
	type GroupId,
	type IncarnationId,
} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {chooseOtherReplica, findShardLeader} from './find-shard-leader.ts';

const groupId = asId<GroupId>('shard-0');

const createMember = (id: string, term?: number): FleetMember => ({
	daemonId: asId<DaemonId>(id),
	name: id,
	incarnation: asId<IncarnationId>('first'),
	sequence: 1,
	role: 'state',
	zone: 'a',
	phase: 'ready',
	ledGroups: term === undefined ? [] : [{groupId, term, voters: []}],
	documentVersion: 0,
});

describe('findShardLeader', () => {
	it('goes by the newest term while an old leader still reports itself', () => {
		const members = [createMember('old', 3), createMember('new', 4)];
		expect(findShardLeader(members, groupId)).toBe('new');
		expect(findShardLeader(members.toReversed(), groupId)).toBe('new');
	});
});

describe('chooseOtherReplica', () => {
	it('asks live daemons only, also when every disk of the first placement is gone', () => {
		const members = [createMember('cut-off', 3), createMember('later')];
		const failedId = asId<DaemonId>('cut-off');
		for (const random of [0, 0.5, 0.99]) {
			expect(chooseOtherReplica(members, failedId, random)).toBe('later');
		}
	});

	it('asks any replica while no leader has been reported', () => {
		const members = [createMember('a'), createMember('b')];
		expect(chooseOtherReplica(members, undefined, 0)).toBe('a');
	});

	it('has no answer when the failed one is the only one', () => {
		const failedId = asId<DaemonId>('only');
		expect(
			chooseOtherReplica([createMember('only')], failedId, 0),
		).toBeUndefined();
	});
});
