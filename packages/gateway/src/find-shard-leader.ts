import type {ShardMap} from '@marjoramcove/control-state';
import type {FleetMember, GroupLeadership} from '@marjoramcove/fleet';
import type {DaemonId, GroupId} from '@marjoramcove/types';

const findNewestLeadership = (
	members: readonly FleetMember[],
	groupId: GroupId,
): {daemonId: DaemonId; leadership: GroupLeadership} | undefined => {
	let newest: {daemonId: DaemonId; leadership: GroupLeadership} | undefined;
	for (const {daemonId, ledGroups} of members) {
		const leadership = ledGroups.find((group) => group.groupId === groupId);
		if (leadership && leadership.term > (newest?.leadership.term ?? 0)) {
			newest = {daemonId, leadership};
		}
	}

	return newest;
};

/**
 * Finds the leader of a shard in the reports of the members; the highest term wins.
 *
 * @example
 * ```ts
 * const leaderId = findShardLeader(view.members, groupId);
 * ```
 */
export const findShardLeader = (
	members: readonly FleetMember[],
	groupId: GroupId,
): DaemonId | undefined => findNewestLeadership(members, groupId)?.daemonId;

/**
 * Finds the live daemons that hold a replica of a shard: its voters as the newest leader reported them, else
 * those of the initial placement.
 *
 * @example
 * ```ts
 * const replicas = findShardReplicas(view.members, view.topics.shardMap, groupId);
 * ```
 */
export const findShardReplicas = (
	members: readonly FleetMember[],
	shardMap: ShardMap | undefined,
	groupId: GroupId,
): FleetMember[] => {
	const reported = findNewestLeadership(members, groupId)?.leadership.voters;
	const placed = shardMap?.shards
		.find((shard) => shard.groupId === groupId)
		?.voters.map(({diskId}) => diskId);
	const disks = new Set(reported ?? placed);
	return members.filter(
		({diskId, role}) =>
			role === 'state' && diskId !== undefined && disks.has(diskId),
	);
};

/**
 * Chooses another live daemon to ask for a shard whose leader failed: one with a replica, because the others
 * do not know the leader. Any live `state` daemon is chosen if no replica is known to be live, because all
 * of them may have been replaced since.
 *
 * @param failedId - the daemon to exclude; `undefined` if no leader was known.
 * @param random - a uniformly distributed number in [0, 1).
 * @example
 * ```ts
 * const nextId = chooseOtherReplica(view.members, replicas, failedId, Math.random());
 * ```
 */
export const chooseOtherReplica = (
	members: readonly FleetMember[],
	replicas: readonly FleetMember[],
	failedId: DaemonId | undefined,
	random: number,
): DaemonId | undefined => {
	const isOther = ({role, daemonId}: FleetMember) =>
		role === 'state' && daemonId !== failedId;
	const otherReplicas = replicas.filter((member) => isOther(member));
	const candidates =
		otherReplicas.length > 0
			? otherReplicas
			: members.filter((member) => isOther(member));
	return candidates[Math.floor(random * candidates.length)]?.daemonId;
};
