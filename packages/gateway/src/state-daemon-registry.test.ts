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
import {
	type DiskRetirementInput,
	StateDaemonRegistry,
} from './state-daemon-registry.ts';

const disk = (text: string) => asId<DiskId>(text);

const createStateDaemon = (name: string, diskId?: string): FleetMember => ({
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

describe('StateDaemonRegistry', () => {
	let registry: StateDaemonRegistry;
	const planRetirement = (changes: Partial<DiskRetirementInput> = {}) =>
		registry.planRetirement({
			memberName: 's1',
			retiringDisks: [],
			factor: 3,
			hasFullMembership: true,
			...changes,
		});

	beforeEach(() => {
		registry = new StateDaemonRegistry();
		registry.update(
			['1', '2', '3', '4'].map((index) =>
				createStateDaemon(`s${index}`, `disk-${index}`),
			),
		);
	});

	describe('a request to empty a disk', () => {
		it('is accepted once', () => {
			expect(planRetirement()).toBe('disk-1');
			expect(planRetirement({retiringDisks: [disk('disk-1')]})).toBeUndefined();
		});

		it('is not acknowledged while the daemon starts (failure: an acknowledged request has no effect and never completes)', () => {
			registry.update([createStateDaemon('s1')]);
			expect(() => planRetirement()).toThrow('has not reported its disk');
		});

		it('counts the disk of a starting daemon as remaining', () => {
			registry.update([createStateDaemon('s2')]);
			expect(planRetirement()).toBe('disk-1');
		});

		it('is permanently refused if too few disks would remain', () => {
			expect(() => planRetirement({retiringDisks: [disk('disk-2')]})).toThrow(
				'Only 2 disks',
			);
		});
	});

	describe('right after an election (failure: a valid request is permanently refused)', () => {
		beforeEach(() => {
			registry = new StateDaemonRegistry();
		});

		it('asks the operator to retry a request for an unknown daemon', () => {
			expect(() => planRetirement({hasFullMembership: false})).toThrow(
				expect.objectContaining({reason: 'members-not-reported'}),
			);
			expect(() => planRetirement()).toThrow(
				expect.objectContaining({reason: 'member-unknown'}),
			);
		});

		it('asks the operator to retry if too few disks are known', () => {
			registry.update([
				createStateDaemon('s1', 'disk-1'),
				createStateDaemon('s2', 'disk-2'),
			]);
			expect(() => planRetirement({hasFullMembership: false})).toThrow(
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
		const isEmpty = (...groups: Array<{term: number; voters: string[]}>) =>
			registry.isDiskEmpty(
				{memberName: 's1', factor: 3, hasFullMembership: true},
				shardMap,
				groups.map(({term, voters}) => ({
					groupId,
					term,
					voters: voters.map((voter) => disk(voter)),
				})),
			);

		it('is reported once the latest leader has all replicas on other disks', () => {
			const otherDisks = ['disk-2', 'disk-3', 'disk-4'];
			expect(isEmpty({term: 2, voters: otherDisks})).toBe(true);
			expect(isEmpty()).toBe(false);
			expect(isEmpty({term: 2, voters: ['disk-2', 'disk-3']})).toBe(false);
			expect(
				isEmpty(
					{term: 2, voters: otherDisks},
					{term: 3, voters: ['disk-1', 'disk-2', 'disk-3']},
				),
			).toBe(false);
		});
	});
});
