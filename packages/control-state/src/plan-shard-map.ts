import {
	asId,
	type DaemonId,
	type DiskId,
	type GroupId,
} from '@marjoramcove/types';
import type {ShardAssignment} from './control-state.ts';

/** A disk on which shard replicas can be placed. */
export type CandidateDisk = {daemonId: DaemonId; diskId: DiskId; zone: string};

/** Inputs of the initial shard placement. */
export type PlanShardMapInput = {
	disks: readonly CandidateDisk[];
	shardCount: number;
	/** Number of durable replicas of each shard. */
	replicationFactor: number;
};

/** Orders the disks round-robin by zone, so that adjacent disks are in different zones where possible. */
const interleaveZones = (disks: readonly CandidateDisk[]): CandidateDisk[] => {
	const byZone = new Map<string, CandidateDisk[]>();
	const sorted = disks.toSorted((a, b) => (a.daemonId < b.daemonId ? -1 : 1));
	for (const disk of sorted) {
		byZone.set(disk.zone, [...(byZone.get(disk.zone) ?? []), disk]);
	}

	const interleaved: CandidateDisk[] = [];
	const queues = [...byZone.values()];
	while (interleaved.length < disks.length) {
		for (const queue of queues) {
			const next = queue.shift();
			if (next) {
				interleaved.push(next);
			}
		}
	}

	return interleaved;
};

/**
 * Computes the initial shard placement. Shards are spread evenly over the disks, with the replicas of a
 * shard in different zones if there are enough zones.
 *
 * @returns `undefined` if there are fewer disks than replicas per shard.
 * @example
 * ```ts
 * const shards = planShardMap({disks, shardCount: 4, replicationFactor: 3});
 * ```
 */
export const planShardMap = ({
	disks,
	shardCount,
	replicationFactor,
}: PlanShardMapInput): ShardAssignment[] | undefined => {
	if (disks.length < replicationFactor) {
		return undefined;
	}

	const interleaved = interleaveZones(disks);
	return Array.from({length: shardCount}, (_, shard) => ({
		groupId: asId<GroupId>(`shard-${shard}`),
		voters: Array.from({length: replicationFactor}, (_unused, replica) => {
			const {daemonId, diskId} =
				interleaved[(shard + replica) % interleaved.length]!;
			return {daemonId, diskId};
		}),
	}));
};
