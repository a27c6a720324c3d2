import {asId, type DaemonId, type GroupId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {
	findTransferableGroups,
	findGroupsLosingQuorum,
} from './find-drain-groups.ts';

const [d1, d2, d3] = ['d1', 'd2', 'd3'].map((id) => asId<DaemonId>(id));
const shard = asId<GroupId>('shard-0');
const createGroup = (leaderId: DaemonId | undefined) =>
	({
		groupId: shard,
		leaderId,
		replicas: [d1!, d2!, d3!].map((daemonId) => ({daemonId, role: 'voter'})),
	}) as unknown as Parameters<typeof findGroupsLosingQuorum>[0][number];
const find = (
	readyDaemons: DaemonId[],
	{
		leaderId = d2,
		hasCalls = true,
	}: {leaderId?: DaemonId; hasCalls?: boolean} = {},
) =>
	findGroupsLosingQuorum([createGroup(leaderId)], {
		daemonId: d1!,
		readyDaemons,
		hasOpenCalls: () => hasCalls,
	});

describe('findGroupsLosingQuorum', () => {
	it('returns nothing while the other voters are a majority', () => {
		// Guards against a drain that never ends, because a busy cluster always has open calls.
		expect(find([d2!, d3!])).toEqual([]);
	});

	it('returns a group with open calls that would lose its majority', () => {
		// Guards against calls that cannot be settled because all daemons stop at once.
		expect(find([d2!])).toEqual([shard]);
		expect(find([d1!, d2!])).toEqual([shard]);
		expect(find([])).toEqual([shard]);
	});

	it('returns nothing when there are no open calls', () => {
		expect(find([], {hasCalls: false})).toEqual([]);
	});

	it('leaves out a group without a leader', () => {
		// Guards against a drain that waits for a group which has already lost its majority.
		expect(
			findGroupsLosingQuorum([createGroup(undefined)], {
				daemonId: d1!,
				readyDaemons: [],
				hasOpenCalls: () => true,
			}),
		).toEqual([]);
	});

	it('leaves out a group in which the daemon is not a voter', () => {
		expect(
			findGroupsLosingQuorum([createGroup(d2)], {
				daemonId: asId<DaemonId>('d9'),
				readyDaemons: [],
				hasOpenCalls: () => true,
			}),
		).toEqual([]);
	});
});

describe('findTransferableGroups', () => {
	it('returns the groups that another voter can take over', () => {
		expect(findTransferableGroups([createGroup(d1)], d1!, [d1!, d3!])).toEqual([
			shard,
		]);
		expect(findTransferableGroups([createGroup(d2)], d1!, [d2!, d3!])).toEqual(
			[],
		);
	});

	it('returns nothing when all voters stop', () => {
		// Guards against daemons that wait for each other forever.
		expect(findTransferableGroups([createGroup(d1)], d1!, [])).toEqual([]);
	});
});
