import type {ShardMap} from '@marjoramcove/control-state';
import type {FleetMember} from '@marjoramcove/fleet';
import {
	asId,
	type DaemonId,
	type DiskId,
	type GroupId,
	type IncarnationId,
} from '@marjoramcove/types';
import {beforeEach, describe, expect, it} from 'vitest';
import {KnownStores, type RetirementInput} from './known-stores.ts';

const disk = (text: string) => asId<DiskId>(text);

const createStore = (name: string, diskId?: string): FleetMember => ({
	daemonId: asId<DaemonId>(name),
	name,
	incarnation: asId<IncarnationId>('first'),
	sequence: 1,
	role: 'state',
	zone: 'a',
	phase: diskId === undefined ? 'starting' : 'ready',
	diskId: diskId === undefined ? undefined : disk(diskId),
	ledGroups: [],
	documentVersion: 0,
});

describe('KnownStores', () => {
	let stores: KnownStores;
	const order = (changes: Partial<RetirementInput> = {}) =>
		stores.planRetirement({
			memberName: 's1',
			retiringDisks: [],
			factor: 3,
			isSettled: true,
			...changes,
		});

	beforeEach(() => {
		stores = new KnownStores();
		stores.note(
			['1', '2', '3', '4'].map((index) =>
				createStore(`s${index}`, `disk-${index}`),
			),
		);
	});

	describe('an order to empty a disk', () => {
		it('is taken once', () => {
			expect(order()).toBe('disk-1');
			expect(order({retiringDisks: [disk('disk-1')]})).toBeUndefined();
		});

		it('is not acknowledged while the daemon starts (failure: the acknowledged order has no effect and never ends)', () => {
			stores.note([createStore('s1')]);
			expect(() => order()).toThrow('has not reported its disk');
		});

		it('counts a daemon that starts among the disks that are left', () => {
			stores.note([createStore('s2')]);
			expect(order()).toBe('disk-1');
		});

		it('is refused for good when too few disks would be left', () => {
			expect(() => order({retiringDisks: [disk('disk-2')]})).toThrow(
				'Only 2 disks',
			);
		});
	});

	describe('right after an election (failure: a proper order is refused for good)', () => {
		beforeEach(() => {
			stores = new KnownStores();
		});

		it('asks to send an order for an unknown daemon again', () => {
			expect(() => order({isSettled: false})).toThrow(
				expect.objectContaining({reason: 'members-not-reported'}),
			);
			expect(() => order()).toThrow(
				expect.objectContaining({reason: 'member-unknown'}),
			);
		});

		it('asks to send it again when too few disks are known', () => {
			stores.note([createStore('s1', 'disk-1'), createStore('s2', 'disk-2')]);
			expect(() => order({isSettled: false})).toThrow(
				expect.objectContaining({reason: 'members-not-reported'}),
			);
		});
	});

	describe('an emptied disk', () => {
		const groupId = asId<GroupId>('shard-0');
		const shardMap: ShardMap = {
			version: 1,
			shards: [{groupId, voters: []}],
			retiringDisks: [disk('disk-1')],
		};
		const ask = (...groups: Array<{term: number; voters: string[]}>) =>
			stores.isEmpty(
				{memberName: 's1', factor: 3, isSettled: true},
				shardMap,
				groups.map(({term, voters}) => ({
					groupId,
					term,
					voters: voters.map((voter) => disk(voter)),
				})),
			);

		it('is reported when the newest leader has all copies elsewhere', () => {
			const others = ['disk-2', 'disk-3', 'disk-4'];
			expect(ask({term: 2, voters: others})).toBe(true);
			expect(ask()).toBe(false);
			expect(ask({term: 2, voters: ['disk-2', 'disk-3']})).toBe(false);
			expect(
				ask(
					{term: 2, voters: others},
					{term: 3, voters: ['disk-1', 'disk-2', 'disk-3']},
				),
			).toBe(false);
		});
	});
});
