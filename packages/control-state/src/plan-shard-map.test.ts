import {asId, type DaemonId, type DiskId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {deriveShardCount, planShardMap} from './plan-shard-map.ts';

const createDisk = (zone: string, number: number) => ({
	daemonId: asId<DaemonId>(`${zone}-${number}`),
	diskId: asId<DiskId>(`disk-${zone}-${number}`),
	zone,
});

describe('planShardMap', () => {
	it('returns no plan while there are fewer disks than replicas', () => {
		const disks = [createDisk('a', 1), createDisk('b', 1)];
		expect(
			planShardMap({disks, minShardCount: 2, replicationFactor: 3}),
		).toBeUndefined();
	});

	it('places the replicas of a shard in different zones', () => {
		const disks = ['a', 'b', 'c'].flatMap((zone) => [
			createDisk(zone, 1),
			createDisk(zone, 2),
		]);
		const shards = planShardMap({
			disks,
			minShardCount: 6,
			replicationFactor: 3,
		})!;
		for (const {voters} of shards) {
			const zones = voters.map(({daemonId}) => daemonId.split('-')[0]);
			expect(new Set(zones).size).toBe(3);
		}
	});

	describe('with many disks', () => {
		const ZONES = ['a', 'b', 'c', 'd', 'e'];
		const disks = Array.from({length: 24}, (_, index) =>
			createDisk(ZONES[index % 5]!, Math.floor(index / 5)),
		);
		const shards = planShardMap({
			disks,
			minShardCount: 4,
			replicationFactor: 5,
		})!;

		it('affects at most one shard by the loss of one disk', () => {
			// Guards against a disk that leads most shards, so that its loss delays most programs.
			const diskIds = shards.flatMap(({voters}) =>
				voters.map(({diskId}) => diskId),
			);
			expect(new Set(diskIds).size).toBe(diskIds.length);
		});

		it('spreads the replicas evenly when there are more replicas than disks', () => {
			// Guards against a few disks that carry all commits while the others are idle.
			const many = planShardMap({
				disks,
				minShardCount: 16,
				replicationFactor: 5,
			})!;
			const replicasByDisk = new Map<string, number>();
			for (const {diskId} of many.flatMap(({voters}) => voters)) {
				replicasByDisk.set(diskId, (replicasByDisk.get(diskId) ?? 0) + 1);
			}

			expect(replicasByDisk.size).toBe(24);
			const average = (many.length * 5) / 24;
			expect(Math.max(...replicasByDisk.values())).toBeLessThanOrEqual(
				Math.ceil(average) + 1,
			);
		});

		it('gives deployments with more disks more shards', () => {
			const countFor = (diskCount: number) =>
				deriveShardCount({diskCount, minShardCount: 4});
			expect([3, 24, 64, 4000].map((count) => countFor(count))).toEqual([
				4, 4, 16, 64,
			]);
		});

		it('places one replica of each shard in each zone, also where zones have fewer disks', () => {
			for (const {voters} of shards) {
				const zones = voters.map(({daemonId}) => daemonId.split('-')[0]);
				expect(new Set(zones).size).toBe(5);
			}
		});
	});
});
