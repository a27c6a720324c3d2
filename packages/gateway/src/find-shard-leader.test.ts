import type {FleetMember} from '@marjoramcove/fleet';
import {
	asId,
	type DaemonId,
	type DiskId,
	type GroupId,
	type IncarnationId,
} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {
	chooseOtherReplica,
	findShardLeader,
	findShardReplicas,
} from './find-shard-leader.ts';

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

describe('findShardReplicas', () => {
	const diskOf = (id: string) => asId<DiskId>(`disk-${id}`);
	const withDisk = (id: string): FleetMember => ({
		...createMember(id),
		diskId: diskOf(id),
	});
	const shardMap = {
		version: 1,
		shards: [
			{
				groupId,
				voters: ['a', 'b'].map((id) => ({
					daemonId: asId<DaemonId>(id),
					diskId: diskOf(id),
				})),
			},
		],
		retiringDisks: [],
	};
	const idsOf = (members: FleetMember[]) =>
		members.map(({daemonId}) => daemonId);

	it('returns the voters that the newest leader reported', () => {
		const leader = {
			...withDisk('c'),
			ledGroups: [{groupId, term: 5, voters: [diskOf('b'), diskOf('c')]}],
		};
		const members = [withDisk('a'), withDisk('b'), leader];
		expect(idsOf(findShardReplicas(members, shardMap, groupId))).toEqual([
			'b',
			'c',
		]);
	});

	it('returns the initial placement while no leader has reported', () => {
		const members = [withDisk('a'), withDisk('b'), withDisk('c')];
		expect(idsOf(findShardReplicas(members, shardMap, groupId))).toEqual([
			'a',
			'b',
		]);
	});

	it('omits a daemon that came back with another disk', () => {
		const members = [{...withDisk('a'), diskId: diskOf('new')}, withDisk('b')];
		expect(idsOf(findShardReplicas(members, shardMap, groupId))).toEqual(['b']);
	});
});

describe('chooseOtherReplica', () => {
	it('asks only daemons with a replica, also among many others', () => {
		// Guards against a search for the leader among 24 daemons of which 5 know it.
		const members = Array.from({length: 24}, (_, index) =>
			createMember(`s${index}`),
		);
		const replicas = members.slice(3, 8);
		const failedId = asId<DaemonId>('s3');
		for (const random of [0, 0.3, 0.6, 0.99]) {
			expect(['s4', 's5', 's6', 's7']).toContain(
				chooseOtherReplica(members, replicas, failedId, random),
			);
		}
	});

	it('chooses a live daemon even if every disk of the initial placement has been replaced', () => {
		const members = [createMember('cut-off', 3), createMember('later')];
		const failedId = asId<DaemonId>('cut-off');
		for (const random of [0, 0.5, 0.99]) {
			expect(chooseOtherReplica(members, [], failedId, random)).toBe('later');
		}
	});

	it('chooses any replica while no leader has been reported', () => {
		const members = [createMember('a'), createMember('b')];
		expect(chooseOtherReplica(members, [], undefined, 0)).toBe('a');
	});

	it('returns undefined if the failed daemon is the only one', () => {
		const failedId = asId<DaemonId>('only');
		expect(
			chooseOtherReplica([createMember('only')], [], failedId, 0),
		).toBeUndefined();
	});
});
