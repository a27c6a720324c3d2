import type {ReplicaStatus} from '@marjoramcove/consensus';
import {asId, type DaemonId, type DiskId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {type GroupDisk, planReplicas} from './plan-replicas.ts';

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
	changes: Partial<GroupDisk> = {},
): GroupDisk => ({
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
	it('changes nothing while all copies are in place', () => {
		const spare = createDisk('d');
		expect(
			planReplicas({...common, replicas, disks: [...disks, spare]}),
		).toBeUndefined();
	});

	describe('a voter that lost its disk', () => {
		it('is replaced by the new disk at the same address', () => {
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

	describe('a voter that is gone', () => {
		const gone = replicas.with(1, createReplica('b', {isLive: false}));
		const live = [disks[0]!, disks[2]!];

		it('keeps its place while there is no free disk', () => {
			expect(
				planReplicas({...common, replicas: gone, disks: live}),
			).toBeUndefined();
		});

		it('is replaced by a free disk', () => {
			const plan = planReplicas({
				...common,
				replicas: gone,
				disks: [...live, createDisk('d')],
			});
			expect(plan).toMatchObject({
				reason: 'replica-gone',
				change: {lostDaemonId: 'b', newDaemonId: 'd'},
			});
		});

		it('keeps its place while the group still hears it', () => {
			expect(
				planReplicas({...common, replicas, disks: [...live, createDisk('d')]}),
			).toBeUndefined();
		});
	});

	it('waits for a learner that is catching up before the next change', () => {
		const learner = createReplica('d', {role: 'learner'});
		const gone = replicas.with(1, createReplica('b', {isLive: false}));
		const plan = planReplicas({
			...common,
			replicas: [...gone, learner],
			disks: [disks[0]!, disks[2]!, createDisk('d'), createDisk('e')],
		});
		expect(plan).toBeUndefined();
	});

	it('gives up a learner that is gone', () => {
		const learner = createReplica('d', {role: 'learner', isLive: false});
		const plan = planReplicas({
			...common,
			replicas: [...replicas, learner],
			disks,
		});
		expect(plan?.change).toEqual({type: 'remove', daemonId: 'd'});
	});

	describe('a disk that is being emptied', () => {
		const retiringDisks = new Set([diskId('disk-a')]);

		it('is replaced although it is live, by a disk that is not leaving itself', () => {
			const stopping = createDisk('d', {zone: 'a', isStopping: true});
			const plan = planReplicas({
				...common,
				replicas,
				retiringDisks,
				disks: [...disks, stopping, createDisk('e')],
			});
			expect(plan).toMatchObject({
				reason: 'disk-retiring',
				change: {lostDaemonId: 'a', newDaemonId: 'e'},
			});
		});
	});

	it('prefers a free disk in the zone of the lost one', () => {
		const plan = planReplicas({
			...common,
			replicas,
			retiringDisks: new Set([diskId('disk-c')]),
			disks: [...disks, createDisk('d'), createDisk('e', {zone: 'c'})],
		});
		expect(plan?.change).toMatchObject({newDaemonId: 'e'});
	});

	it('adds a copy when there are too few', () => {
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
