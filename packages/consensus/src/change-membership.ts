import {
	applyMembershipChange,
	findReplica,
	isVoter,
	type MembershipChange,
} from './membership.ts';
import {appendAsLeader, updateTrackedMembers} from './leader.ts';
import {currentMembership, isLive} from './raft-state.ts';
import {replicateToAll} from './replication.ts';
import type {ProposalRefusal, RaftState, StepContext} from './raft-types.ts';

/** Whether a replica is live and has every committed entry on its disk. */
const isCaughtUp = (context: StepContext, diskId: RaftState['selfId']) => {
	const {state, nowMs} = context;
	const progress = state.progress.get(diskId);
	return (
		progress !== undefined &&
		progress.matchIndex >= state.commitIndex &&
		isLive(state, progress, nowMs)
	);
};

const findRefusal = (
	context: StepContext,
	change: MembershipChange,
): ProposalRefusal | undefined => {
	const {state} = context;
	if (state.role !== 'leader' || state.isStalled) {
		return 'not-leader';
	}

	// Two uncommitted membership changes could produce disjoint majorities.
	if (
		state.memberships.at(-1)!.index > state.commitIndex ||
		state.commitIndex < state.termStartIndex ||
		state.transfer
	) {
		return 'change-under-way';
	}

	return change.type === 'promote' && !isCaughtUp(context, change.diskId)
		? 'change-not-applicable'
		: undefined;
};

/** Appends a membership change to the log. It takes effect when appended, before it is committed. */
export const proposeMembershipChange = (
	context: StepContext,
	id: number,
	change: MembershipChange,
): void => {
	const {state, actions} = context;
	const next = applyMembershipChange(currentMembership(state), change);
	const refusal =
		findRefusal(context, change) ??
		(next ? undefined : 'change-not-applicable');
	if (refusal) {
		actions.push({type: 'reject-proposal', id, reason: refusal});
		return;
	}

	const [entry] = appendAsLeader(context, [
		{kind: 'membership', command: Buffer.from(JSON.stringify(next))},
	]);
	state.memberships.push({index: entry!.index, membership: next!});
	updateTrackedMembers(context, next!);
	actions.push({
		type: 'proposed',
		id,
		index: entry!.index,
		term: entry!.term,
	});
	replicateToAll(context);
};

/** Id of proposals that the protocol itself makes; no caller waits for their outcome. */
export const INTERNAL_PROPOSAL_ID = -1;

/**
 * Advances the replacement of lost replicas: promotes a learner that has caught up, then removes the
 * voter that it replaces. The membership records which voter is replaced, so a new leader continues
 * the replacement.
 */
export const continueReplacements = (context: StepContext): void => {
	const {state} = context;
	const membership = currentMembership(state);
	const learner = membership.learners.find(
		(replica) =>
			!replica.isPermanentLearner && isCaughtUp(context, replica.diskId),
	);
	const replacement = membership.voters.find((replica) => replica.replaces);
	if (replacement?.replaces && isVoter(membership, replacement.replaces)) {
		proposeIfPossible(context, {type: 'remove', diskId: replacement.replaces});
	} else if (learner) {
		proposeIfPossible(context, {type: 'promote', diskId: learner.diskId});
	}
};

const proposeIfPossible = (context: StepContext, change: MembershipChange) => {
	const diskId =
		change.type === 'add-learner' ? change.replica.diskId : change.diskId;
	if (
		findReplica(currentMembership(context.state), diskId) &&
		!findRefusal(context, change)
	) {
		proposeMembershipChange(context, INTERNAL_PROPOSAL_ID, change);
	}
};
