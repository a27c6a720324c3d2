import type {GroupStatus} from '@marjoramcove/consensus';
import type {DaemonId, GroupId} from '@marjoramcove/types';

type VotingGroup = Pick<GroupStatus, 'groupId' | 'leaderId' | 'replicas'>;

const listVoters = ({replicas}: VotingGroup): DaemonId[] =>
	replicas.filter(({role}) => role === 'voter').map(({daemonId}) => daemonId);

/**
 * Groups that this daemon leads and another voter could take over. When all voters stop, none does, and
 * waiting for it would never end.
 */
export const findGroupsToHandOver = (
	groups: readonly VotingGroup[],
	daemonId: DaemonId,
	readyDaemons: readonly DaemonId[],
): GroupId[] =>
	groups
		.filter(
			(group) =>
				group.leaderId === daemonId &&
				listVoters(group).some(
					(voter) => voter !== daemonId && readyDaemons.includes(voter),
				),
		)
		.map(({groupId}) => groupId);

/**
 * Groups whose open calls could not be settled if this daemon left: it is a voter, the group has a
 * leader, and the other voters that stay are no majority. It happens when all daemons stop at once. A
 * group without a leader settles nothing whether this daemon stays or not.
 *
 * @example
 * ```ts
 * const needed = findNeededGroups(replication.status(), {daemonId, readyDaemons, hasOpenCalls});
 * ```
 */
export const findNeededGroups = (
	groups: readonly VotingGroup[],
	{
		daemonId,
		readyDaemons,
		hasOpenCalls,
	}: {
		daemonId: DaemonId;
		/** Live daemons that are not stopping. */
		readyDaemons: readonly DaemonId[];
		hasOpenCalls: (groupId: GroupId) => boolean;
	},
): GroupId[] => {
	const staying = new Set(readyDaemons);
	staying.delete(daemonId);
	return groups
		.filter((group) => {
			const voters = listVoters(group);
			const others = voters.filter((voter) => staying.has(voter));
			return (
				group.leaderId !== undefined &&
				voters.includes(daemonId) &&
				others.length <= voters.length / 2
			);
		})
		.map(({groupId}) => groupId)
		.filter((groupId) => hasOpenCalls(groupId));
};
