import type {GroupStatus} from '@marjoramcove/consensus';
import type {DaemonId, GroupId} from '@marjoramcove/types';

type VotingGroup = Pick<GroupStatus, 'groupId' | 'leaderId' | 'replicas'>;

const listVoters = ({replicas}: VotingGroup): DaemonId[] =>
	replicas.filter(({role}) => role === 'voter').map(({daemonId}) => daemonId);

/**
 * Returns the groups that this daemon leads and whose leadership can be transferred to another ready voter.
 * When all voters stop there is no such voter, and a drain that waited for a transfer would never end.
 */
export const findTransferableGroups = (
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
 * Returns the groups whose open calls could not be settled if this daemon stopped: it is a voter, the group
 * has a leader, and the remaining voters are not a majority. This happens when all daemons stop at once.
 * A group without a leader is left out, because it cannot settle calls whether this daemon stays or not.
 *
 * @example
 * ```ts
 * const groupIds = findGroupsLosingQuorum(replication.status(), {daemonId, readyDaemons, hasOpenCalls});
 * ```
 */
export const findGroupsLosingQuorum = (
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
	const remaining = new Set(readyDaemons);
	remaining.delete(daemonId);
	return groups
		.filter((group) => {
			const voters = listVoters(group);
			const remainingVoters = voters.filter((voter) => remaining.has(voter));
			return (
				group.leaderId !== undefined &&
				voters.includes(daemonId) &&
				remainingVoters.length <= voters.length / 2
			);
		})
		.map(({groupId}) => groupId)
		.filter((groupId) => hasOpenCalls(groupId));
};
