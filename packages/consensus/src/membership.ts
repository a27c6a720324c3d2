import type {DaemonId, DiskId} from '@marjoramcove/types';

/** A replica of a group: the disk that holds the log, and the daemon that has this disk. */
export type ReplicaDescriptor = {
	daemonId: DaemonId;
	diskId: DiskId;
	/** Disk of the lost replica whose place this one takes: it is removed after the promotion. */
	replaces?: DiskId;
	/** A learner that is never promoted. */
	isPermanentLearner?: boolean;
};

/** Who votes in a group, and who only receives its log. */
export type Membership = {
	voters: ReplicaDescriptor[];
	learners: ReplicaDescriptor[];
};

/** One change of the membership; at most one is under way in a group. */
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

	const rest = withoutDisk(voters, change.diskId).map((voter) =>
		voter.replaces === change.diskId
			? {daemonId: voter.daemonId, diskId: voter.diskId}
			: voter,
	);
	return rest.length === 0
		? undefined
		: {voters: rest, learners: withoutDisk(learners, change.diskId)};
};
