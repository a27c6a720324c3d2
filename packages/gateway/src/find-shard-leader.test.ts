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
	it('returns the leader with the highest term while a deposed leader still reports itself', () => {
		const members = [createMember('old', 3), createMember('new', 4)];
		expect(findShardLeader(members, groupId)).toBe('new');
		expect(findShardLeader(members.toReversed(), groupId)).toBe('new');
	});
});

describe('chooseOtherReplica', () => {
	it('chooses a live daemon even if every disk of the initial placement has been replaced', () => {
		const members = [createMember('cut-off', 3), createMember('later')];
		const failedId = asId<DaemonId>('cut-off');
		for (const random of [0, 0.5, 0.99]) {
			expect(chooseOtherReplica(members, failedId, random)).toBe('later');
		}
	});

	it('chooses any replica while no leader has been reported', () => {
		const members = [createMember('a'), createMember('b')];
		expect(chooseOtherReplica(members, undefined, 0)).toBe('a');
	});

	it('returns undefined if the failed daemon is the only one', () => {
		const failedId = asId<DaemonId>('only');
		expect(
			chooseOtherReplica([createMember('only')], failedId, 0),
		).toBeUndefined();
	});
});
