import {asId, type DaemonId, type GroupId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {findGroupsToHandOver, findNeededGroups} from './find-needed-groups.ts';

const [d1, d2, d3] = ['d1', 'd2', 'd3'].map((id) => asId<DaemonId>(id));
const shard = asId<GroupId>('shard-0');
const group = (leaderId: DaemonId | undefined) =>
	({
		groupId: shard,
		leaderId,
		replicas: [d1!, d2!, d3!].map((daemonId) => ({daemonId, role: 'voter'})),
	}) as unknown as Parameters<typeof findNeededGroups>[0][number];
const find = (
	readyDaemons: DaemonId[],
	{
		leaderId = d2,
		hasCalls = true,
	}: {leaderId?: DaemonId; hasCalls?: boolean} = {},
) =>
	findNeededGroups([group(leaderId)], {
		daemonId: d1!,
		readyDaemons,
		hasOpenCalls: () => hasCalls,
	});

describe('findNeededGroups', () => {
	it('needs no daemon while the others are a majority', () => {
		// Guards against a stop that never ends on a busy cluster.
		expect(find([d2!, d3!])).toEqual([]);
	});

	it('needs a daemon whose leaving takes the majority from open calls', () => {
		// Guards against calls that nobody can settle when all daemons stop at once.
		expect(find([d2!])).toEqual([shard]);
		expect(find([d1!, d2!])).toEqual([shard]);
		expect(find([])).toEqual([shard]);
	});

	it('needs nobody without open calls', () => {
		expect(find([], {hasCalls: false})).toEqual([]);
	});

	it('needs nobody in a group without a leader', () => {
		// Guards against a stop that waits for a majority that is lost.
		expect(
			findNeededGroups([group(undefined)], {
				daemonId: d1!,
				readyDaemons: [],
				hasOpenCalls: () => true,
			}),
		).toEqual([]);
	});

	it('needs no daemon that is no voter', () => {
		expect(
			findNeededGroups([group(d2)], {
				daemonId: asId<DaemonId>('d9'),
				readyDaemons: [],
				hasOpenCalls: () => true,
			}),
		).toEqual([]);
	});
});

describe('findGroupsToHandOver', () => {
	it('names the groups that another voter can take over', () => {
		expect(findGroupsToHandOver([group(d1)], d1!, [d1!, d3!])).toEqual([shard]);
		expect(findGroupsToHandOver([group(d2)], d1!, [d2!, d3!])).toEqual([]);
	});

	it('names none when all voters stop', () => {
		// Guards against daemons that wait for each other without end.
		expect(findGroupsToHandOver([group(d1)], d1!, [])).toEqual([]);
	});
});
