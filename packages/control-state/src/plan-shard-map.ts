import {
	asId,
	type DaemonId,
	type DiskId,
	type GroupId,
} from '@marjoramcove/types';
import type {ShardAssignment} from './step-control.ts';

/** A disk that can hold shards. */
export type StoreDisk = {daemonId: DaemonId; diskId: DiskId; zone: string};

/** What the first placement of the shards needs. */
export type ShardPlanInput = {
	disks: readonly StoreDisk[];
	shardCount: number;
	/** Durable copies of each shard. */
	replicationFactor: number;
};

/** Takes a disk of each zone in turn, so that neighbours in the result are in different zones. */
const alternateZones = (disks: readonly StoreDisk[]): StoreDisk[] => {
	const byZone = new Map<string, StoreDisk[]>();
	const sorted = disks.toSorted((a, b) => (a.daemonId < b.daemonId ? -1 : 1));
	for (const disk of sorted) {
		byZone.set(disk.zone, [...(byZone.get(disk.zone) ?? []), disk]);
	}

	const ordered: StoreDisk[] = [];
	const queues = [...byZone.values()];
	while (ordered.length < disks.length) {
		for (const queue of queues) {
			const next = queue.shift();
			if (next) {
				ordered.push(next);
			}
		}
	}

	return ordered;
};

/**
 * Places the shards for the first time: evenly over the disks, the copies of a shard in different
 * zones where there are enough.
 *
 * @returns `undefined` while there are fewer disks than copies.
 * @example
 * ```ts
 * const shards = planShardMap({disks, shardCount: 4, replicationFactor: 3});
 * ```
 */
export const planShardMap = ({
	disks,
	shardCount,
	replicationFactor,
}: ShardPlanInput): ShardAssignment[] | undefined => {
	if (disks.length < replicationFactor) {
		return undefined;
	}

	const ordered = alternateZones(disks);
	return Array.from({length: shardCount}, (_, shard) => ({
		groupId: asId<GroupId>(`shard-${shard}`),
		voters: Array.from({length: replicationFactor}, (_unused, copy) => {
			const {daemonId, diskId} = ordered[(shard + copy) % ordered.length]!;
			return {daemonId, diskId};
		}),
	}));
};
