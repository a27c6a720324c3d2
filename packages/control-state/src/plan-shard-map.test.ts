import {asId, type DaemonId, type DiskId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {planShardMap} from './plan-shard-map.ts';

const createDisk = (zone: string, number: number) => ({
	daemonId: asId<DaemonId>(`${zone}-${number}`),
	diskId: asId<DiskId>(`disk-${zone}-${number}`),
	zone,
});

describe('planShardMap', () => {
	it('returns no plan while there are fewer disks than replicas', () => {
		const disks = [createDisk('a', 1), createDisk('b', 1)];
		expect(
			planShardMap({disks, shardCount: 2, replicationFactor: 3}),
		).toBeUndefined();
	});

	it('places the replicas of a shard in different zones', () => {
		const disks = ['a', 'b', 'c'].flatMap((zone) => [
			createDisk(zone, 1),
			createDisk(zone, 2),
		]);
		const shards = planShardMap({disks, shardCount: 6, replicationFactor: 3})!;
		for (const {voters} of shards) {
			const zones = voters.map(({daemonId}) => daemonId.split('-')[0]);
			expect(new Set(zones).size).toBe(3);
		}
	});
});
