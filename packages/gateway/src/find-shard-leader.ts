import type {FleetMember} from '@marjoramcove/fleet';
import type {DaemonId, GroupId} from '@marjoramcove/types';

/**
 * Finds the leader of a shard among the reports of its members; the newest term wins.
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
 * Chooses whom to ask for a shard whose leader failed: another live `state` daemon. The disks of the
 * first placement may all have been replaced since.
 *
 * @param failedId - left out; `undefined` when no leader was known.
 * @param random - uniform in [0, 1).
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
