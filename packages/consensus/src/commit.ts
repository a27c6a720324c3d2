import {assertInvariant} from '@marjoramcove/errors';
import {quorumSize} from './membership.ts';
import {becomeFollower, currentMembership, membershipAt} from './raft-state.ts';
import type {RaftState, StepContext} from './raft-types.ts';

/** Raises the commit index and applies the newly committed entries to the state machine. */
export const advanceCommit = (
	context: StepContext,
	commitIndex: number,
): void => {
	const {state, actions} = context;
	if (commitIndex <= state.commitIndex) {
		return;
	}

	assertInvariant(
		commitIndex <= state.log.lastIndex,
		'commit-within-log',
		{groupId: state.groupId, commitIndex},
		`the log ends at ${state.log.lastIndex}`,
	);
	state.commitIndex = commitIndex;
	assertInvariant(
		state.appliedIndex < commitIndex,
		'applied-index-never-goes-back',
		{groupId: state.groupId, commitIndex},
		`applied up to ${state.appliedIndex}`,
	);
	const entries = state.log.slice(state.appliedIndex + 1, commitIndex);
	state.appliedIndex = commitIndex;
	actions.push({type: 'apply', entries});
};

/** Highest index that a majority of the voters has on disk. */
const quorumIndex = (state: RaftState) => {
	const membership = currentMembership(state);
	const durableIndexes = membership.voters
		.map((voter) =>
			voter.diskId === state.selfId
				? state.durableIndex
				: (state.progress.get(voter.diskId)?.matchIndex ?? 0),
		)
		.sort((a, b) => b - a);
	return durableIndexes[quorumSize(membership) - 1]!;
};

/**
 * Commits the entries that a majority has on disk. Only an entry of the current term is committed by
 * counting replicas; earlier entries are committed with it.
 */
export const commitByQuorum = (context: StepContext): void => {
	const {state} = context;
	const index = quorumIndex(state);
	if (index <= state.commitIndex || state.log.termAt(index) !== state.term) {
		return;
	}

	const previousCommitIndex = state.commitIndex;
	advanceCommit(context, index);
	for (const entry of state.log.slice(previousCommitIndex + 1, index)) {
		state.uncommittedBytes -= entry.command.length;
	}

	state.uncommittedBytes = Math.max(0, state.uncommittedBytes);
	const committed = membershipAt(state, state.commitIndex);
	const isSelfRemoved =
		state.memberships.at(-1)!.index <= state.commitIndex &&
		!committed.voters.some((voter) => voter.diskId === state.selfId);
	if (isSelfRemoved) {
		becomeFollower(context, state.term);
	}
};
