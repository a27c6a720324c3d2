import type {ReplicaStatus} from '@marjoramcove/consensus';
import {asId, type DaemonId, type DiskId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {type LiveDisk, planReplicas} from './plan-replicas.ts';

const daemonId = (text: string) => asId<DaemonId>(text);
const diskId = (text: string) => asId<DiskId>(text);

const createReplica = (
	daemon: string,
	changes: Partial<ReplicaStatus> = {},
): ReplicaStatus => ({
	daemonId: daemonId(daemon),
	diskId: diskId(`disk-${daemon}`),
	role: 'voter',
	isLive: true,
	...changes,
});

const createDisk = (
	daemon: string,
	changes: Partial<LiveDisk> = {},
): LiveDisk => ({
	daemonId: daemonId(daemon),
	diskId: diskId(`disk-${daemon}`),
	zone: daemon,
	isStopping: false,
	...changes,
});

const replicas = ['a', 'b', 'c'].map((name) => createReplica(name));
const disks = ['a', 'b', 'c'].map((name) => createDisk(name));
const common = {retiringDisks: new Set<DiskId>(), factor: 3};

describe('planReplicas', () => {
	it('plans no change while all replicas are available', () => {
		const spare = createDisk('d');
		expect(
			planReplicas({...common, replicas, disks: [...disks, spare]}),
		).toBeUndefined();
	});

	describe('a voter that lost its disk', () => {
		it('is replaced by the new disk of the same daemon', () => {
			const wiped = createDisk('b', {diskId: diskId('new')});
			const plan = planReplicas({
				...common,
				replicas,
				disks: [disks[0]!, wiped, disks[2]!],
			});
			expect(plan).toEqual({
				reason: 'disk-lost',
				change: {
					type: 'replace',
					lostDaemonId: 'b',
					newDaemonId: 'b',
					newDiskId: 'new',
				},
			});
		});

		it('is replaced again when the new disk is lost before its promotion', () => {
			const learner = createReplica('b', {
				role: 'learner',
				diskId: diskId('second'),
			});
			const wiped = createDisk('b', {diskId: diskId('third')});
			const plan = planReplicas({
				...common,
				replicas: [...replicas, learner],
				disks: [disks[0]!, wiped, disks[2]!],
			});
			expect(plan?.change).toMatchObject({newDiskId: 'third'});
		});
	});

	describe('an unreachable voter', () => {
		const degraded = replicas.with(1, createReplica('b', {isLive: false}));
		const live = [disks[0]!, disks[2]!];

		it('stays a member while there is no free disk', () => {
			expect(
				planReplicas({...common, replicas: degraded, disks: live}),
			).toBeUndefined();
		});

		it('is replaced by a free disk', () => {
			const plan = planReplicas({
				...common,
				replicas: degraded,
				disks: [...live, createDisk('d')],
			});
			expect(plan).toMatchObject({
				reason: 'replica-gone',
				change: {lostDaemonId: 'b', newDaemonId: 'd'},
			});
		});

		it('stays a member while the leader still receives its heartbeats', () => {
			expect(
				planReplicas({...common, replicas, disks: [...live, createDisk('d')]}),
			).toBeUndefined();
		});
	});

	it('waits for a learner that is catching up before the next change', () => {
		const learner = createReplica('d', {role: 'learner'});
		const degraded = replicas.with(1, createReplica('b', {isLive: false}));
		const plan = planReplicas({
			...common,
			replicas: [...degraded, learner],
			disks: [disks[0]!, disks[2]!, createDisk('d'), createDisk('e')],
		});
		expect(plan).toBeUndefined();
	});

	it('removes an unreachable learner', () => {
		const learner = createReplica('d', {role: 'learner', isLive: false});
		const plan = planReplicas({
			...common,
			replicas: [...replicas, learner],
			disks,
		});
		expect(plan?.change).toEqual({type: 'remove', daemonId: 'd'});
	});

	describe('a retiring disk', () => {
		const retiringDisks = new Set([diskId('disk-a')]);

		it('is replaced while still live, by a disk whose daemon is not draining', () => {
			const draining = createDisk('d', {zone: 'a', isStopping: true});
			const plan = planReplicas({
				...common,
				replicas,
				retiringDisks,
				disks: [...disks, draining, createDisk('e')],
			});
			expect(plan).toMatchObject({
				reason: 'disk-retiring',
				change: {lostDaemonId: 'a', newDaemonId: 'e'},
			});
		});
	});

	it('prefers a free disk in the zone of the replaced one', () => {
		const plan = planReplicas({
			...common,
			replicas,
			retiringDisks: new Set([diskId('disk-c')]),
			disks: [...disks, createDisk('d'), createDisk('e', {zone: 'c'})],
		});
		expect(plan?.change).toMatchObject({newDaemonId: 'e'});
	});

	it('adds a replica when there are too few', () => {
		const plan = planReplicas({
			...common,
			replicas: replicas.slice(0, 2),
			disks,
		});
		expect(plan).toMatchObject({
			reason: 'too-few-copies',
			change: {type: 'add', daemonId: 'c'},
		});
	});
});
