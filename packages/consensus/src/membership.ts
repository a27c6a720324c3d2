import type {DaemonId, DiskId} from '@marjoramcove/types';

/** A replica of a group, identified by the disk that holds its log, and the daemon that uses the disk. */
export type ReplicaDescriptor = {
	daemonId: DaemonId;
	diskId: DiskId;
	/** Disk of the lost replica that this one replaces. It is removed after this one is promoted. */
	replaces?: DiskId;
	/** A learner that is never promoted. */
	isPermanentLearner?: boolean;
};

/** The replicas of a group: voters, and learners, which receive the log but do not vote. */
export type Membership = {
	voters: ReplicaDescriptor[];
	learners: ReplicaDescriptor[];
};

/** A single membership change. A group has at most one in progress. */
export type MembershipChange =
	| {type: 'add-learner'; replica: ReplicaDescriptor}
	| {type: 'promote'; diskId: DiskId}
	| {type: 'remove'; diskId: DiskId};

export const EMPTY_MEMBERSHIP: Membership = {voters: [], learners: []};

/** Number of voters that form a majority. */
export const quorumSize = (membership: Membership): number =>
	Math.floor(membership.voters.length / 2) + 1;

/** Whether the disk is a voter. */
export const isVoter = (membership: Membership, diskId: DiskId): boolean =>
	membership.voters.some((replica) => replica.diskId === diskId);

/** The replica on this disk, voter or learner. */
export const findReplica = (
	membership: Membership,
	diskId: DiskId | undefined,
): ReplicaDescriptor | undefined =>
	[...membership.voters, ...membership.learners].find(
		(replica) => replica.diskId === diskId,
	);

const withoutDisk = (replicas: ReplicaDescriptor[], diskId: DiskId) =>
	replicas.filter((replica) => replica.diskId !== diskId);

/**
 * The membership after a change, or `undefined` when the change does not apply to it.
 *
 * @example
 * ```ts
 * const next = applyMembershipChange(membership, {type: 'promote', diskId});
 * ```
 */
export const applyMembershipChange = (
	membership: Membership,
	change: MembershipChange,
): Membership | undefined => {
	const {voters, learners} = membership;
	if (change.type === 'add-learner') {
		return findReplica(membership, change.replica.diskId)
			? undefined
			: {voters, learners: [...learners, change.replica]};
	}

	const replica = findReplica(membership, change.diskId);
	if (!replica) {
		return undefined;
	}

	if (change.type === 'promote') {
		return isVoter(membership, change.diskId)
			? undefined
			: {
					voters: [...voters, replica],
					learners: withoutDisk(learners, change.diskId),
				};
	}

	const remainingVoters = withoutDisk(voters, change.diskId).map((voter) =>
		voter.replaces === change.diskId
			? {daemonId: voter.daemonId, diskId: voter.diskId}
			: voter,
	);
	return remainingVoters.length === 0
		? undefined
		: {voters: remainingVoters, learners: withoutDisk(learners, change.diskId)};
};
