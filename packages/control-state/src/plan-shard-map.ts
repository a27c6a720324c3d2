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
	/** Least number of shards; a deployment with more disks gets more. */
	minShardCount: number;
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

/** Larger than any number of replicas on a disk, so that the zone decides before the disk. */
const RANK_STEP = 1000;

/** Places replicas one by one, each in a zone with the fewest replicas of its shard. */
class ReplicaPlacer {
	readonly #disks: readonly CandidateDisk[];
	readonly #replicasByDisk = new Map<DiskId, number>();

	constructor(disks: readonly CandidateDisk[]) {
		this.#disks = disks;
	}

	/** Picks the disks of one shard; within a zone, one with the fewest replicas of all shards. */
	placeShard(replicationFactor: number): ShardAssignment['voters'] {
		const remaining = new Set(this.#disks);
		const pickedByZone = new Map<string, number>();
		return Array.from({length: replicationFactor}, () => {
			const rank = ({zone, diskId}: CandidateDisk) =>
				(pickedByZone.get(zone) ?? 0) * RANK_STEP +
				(this.#replicasByDisk.get(diskId) ?? 0);
			const [disk] = [...remaining].toSorted((a, b) => rank(a) - rank(b));
			const {daemonId, diskId, zone} = disk!;
			remaining.delete(disk!);
			pickedByZone.set(zone, (pickedByZone.get(zone) ?? 0) + 1);
			this.#replicasByDisk.set(
				diskId,
				(this.#replicasByDisk.get(diskId) ?? 0) + 1,
			);
			return {daemonId, diskId};
		});
	}
}

/** Maximum number of shards. */
const MAX_SHARD_COUNT = 64;

/** Disks for each shard; each shard costs its replicas heartbeats even when it is idle. */
const DISKS_PER_SHARD = 4;

/**
 * Derives the number of shards: a power of two that grows with the disks, so that commits are spread over
 * them.
 *
 * @example
 * ```ts
 * deriveShardCount({diskCount: 64, minShardCount: 4}); // 16
 * ```
 */
export const deriveShardCount = ({
	diskCount,
	minShardCount,
}: {
	diskCount: number;
	minShardCount: number;
}): number =>
	Math.max(
		minShardCount,
		Math.min(
			MAX_SHARD_COUNT,
			2 ** Math.floor(Math.log2(diskCount / DISKS_PER_SHARD)),
		),
	);

/**
 * Computes the initial shard placement. Shards are spread evenly over the disks, with the replicas of a
 * shard in different zones if there are enough zones.
 *
 * @returns `undefined` if there are fewer disks than replicas per shard.
 * @example
 * ```ts
 * const shards = planShardMap({disks, minShardCount: 4, replicationFactor: 3});
 * ```
 */
export const planShardMap = ({
	disks,
	minShardCount,
	replicationFactor,
}: PlanShardMapInput): ShardAssignment[] | undefined => {
	if (disks.length < replicationFactor) {
		return undefined;
	}

	const placer = new ReplicaPlacer(interleaveZones(disks));
	const shardCount = deriveShardCount({diskCount: disks.length, minShardCount});
	return Array.from({length: shardCount}, (_, shard) => ({
		groupId: asId<GroupId>(`shard-${shard}`),
		voters: placer.placeShard(replicationFactor),
	}));
};
