import type {DaemonId} from '@marjoramcove/types';
import {findReplica, isVoter, type Membership} from './membership.ts';
import {isLive, membershipAt} from './raft-state.ts';
import type {RaftState} from './raft-types.ts';
import type {ReplicaGroup} from './replica-group.ts';
import type {
	GroupStatus,
	RepairStatus,
	ReplicaStatus,
} from './replica-options.ts';

/** The committed membership. An uncommitted change may still be rolled back, so it is not reported. */
const committedMembership = (state: RaftState) =>
	membershipAt(state, state.commitIndex);

const describeReplicas = (state: RaftState, nowMs: number): ReplicaStatus[] => {
	const membership = committedMembership(state);
	return [...membership.voters, ...membership.learners].map(
		({daemonId, diskId}) => {
			const base: ReplicaStatus = {
				daemonId,
				diskId,
				role: isVoter(membership, diskId) ? 'voter' : 'learner',
			};
			if (state.role !== 'leader') {
				return base;
			}

			const progress = state.progress.get(diskId);
			const matchIndex = progress?.matchIndex ?? state.durableIndex;
			return {
				...base,
				matchIndex,
				lagEntries: Math.max(0, state.log.lastIndex - matchIndex),
				isLive: !progress || isLive(state, progress, nowMs),
			};
		},
	);
};

const describeRepair = (
	group: ReplicaGroup,
	membership: Membership,
): RepairStatus | undefined => {
	const {state} = group;
	const replica = [...membership.learners, ...membership.voters].find(
		(candidate) => candidate.replaces,
	);
	if (!replica?.replaces || state.role !== 'leader') {
		return undefined;
	}

	const progress = state.progress.get(replica.diskId);
	const isCopying = progress?.mode === 'snapshot';
	const copyProgress = group.snapshotSource.progress.get(replica.diskId);
	const progressRatio = isCopying
		? (copyProgress?.copiedBytes ?? 0) /
			Math.max(1, copyProgress?.totalBytes ?? 1)
		: (progress?.matchIndex ?? 0) / Math.max(1, state.log.lastIndex);
	return {
		lostDiskId: replica.replaces,
		newDaemonId: replica.daemonId,
		newDiskId: replica.diskId,
		phase: isVoter(membership, replica.diskId)
			? 'removing'
			: isCopying
				? 'copying'
				: 'catching-up',
		progress: Math.min(1, progressRatio),
	};
};

/** Returns the status of a group as shown to operators. */
export const describeGroup = (
	group: ReplicaGroup,
	daemonId: DaemonId,
	nowMs: number,
): GroupStatus => {
	const {state, groupId} = group;
	const membership = committedMembership(state);
	const self = findReplica(membership, state.selfId);
	return {
		groupId,
		diskId: state.selfId,
		role: self ? state.role : 'none',
		isReady: self?.daemonId === daemonId && !state.isStalled,
		leaderId: state.leader?.daemonId,
		term: state.term,
		lastIndex: state.log.lastIndex,
		commitIndex: state.commitIndex,
		appliedIndex: state.appliedIndex,
		snapshotIndex: group.snapshotMeta?.index ?? 0,
		historyBytes: group.history.lengthBytes,
		historyStartBytes: group.history.startOffset,
		historyReclaimedBytes: group.history.reclaimedBytes,
		logMemoryBytes: group.state.log.sizeBytes,
		replicas: describeReplicas(state, nowMs),
		repair: describeRepair(group, membership),
	};
};
