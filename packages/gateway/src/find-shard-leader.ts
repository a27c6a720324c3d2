import type {FleetMember} from '@marjoramcove/fleet';
import type {DaemonId, GroupId} from '@marjoramcove/types';

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
): DaemonId | undefined => {
	let best: {daemonId: DaemonId; term: number} | undefined;
	for (const {daemonId, ledGroups} of members) {
		const led = ledGroups.find((group) => group.groupId === groupId);
		if (led && led.term > (best?.term ?? 0)) {
			best = {daemonId, term: led.term};
		}
	}

	return best?.daemonId;
};

/**
 * Chooses another live `state` daemon to query for a shard whose leader failed. Live members are used
 * because the disks of the initial placement may all have been replaced since.
 *
 * @param failedId - the daemon to exclude; `undefined` if no leader was known.
 * @param random - a uniformly distributed number in [0, 1).
 * @example
 * ```ts
 * const nextId = chooseOtherReplica(view.members, failedId, Math.random());
 * ```
 */
export const chooseOtherReplica = (
	members: readonly FleetMember[],
	failedId: DaemonId | undefined,
	random: number,
): DaemonId | undefined => {
	const others = members.filter(
		({role, daemonId}) => role === 'state' && daemonId !== failedId,
	);
	return others[Math.floor(random * others.length)]?.daemonId;
};
