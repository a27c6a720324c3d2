import {isVoter, quorumSize} from './membership.ts';
import {currentMembership, sendMessage} from './raft-state.ts';
import type {Progress, RaftState, StepContext} from './raft-types.ts';

/** Sends a heartbeat with the current read round to one replica. */
export const sendHeartbeat = (
	context: StepContext,
	replica: Parameters<typeof sendMessage>[1],
	progress: Progress,
): void => {
	const {state} = context;
	const commitIndex = Math.min(progress.matchIndex, state.commitIndex);
	progress.sentCommitIndex = Math.max(progress.sentCommitIndex, commitIndex);
	sendMessage(
		context,
		replica,
		{
			type: 'heartbeat',
			term: state.term,
			commitIndex,
			round: state.round,
		},
		false,
	);
};

/** Sends a heartbeat with the current read round to all other replicas. */
export const broadcastHeartbeat = (context: StepContext): void => {
	const {state} = context;
	const {voters, learners} = currentMembership(state);
	for (const replica of [...voters, ...learners]) {
		const progress = state.progress.get(replica.diskId);
		if (progress) {
			sendHeartbeat(context, replica, progress);
		}
	}
};

const isRoundConfirmed = (state: RaftState) => {
	const membership = currentMembership(state);
	let confirmed = isVoter(membership, state.selfId) ? 1 : 0;
	for (const voter of membership.voters) {
		const progress = state.progress.get(voter.diskId);
		if (progress && progress.round >= state.round) {
			confirmed += 1;
		}
	}

	return confirmed >= quorumSize(membership);
};

/**
 * Starts a round for the waiting reads unless one is in progress. A read never joins a round that
 * started before it arrived, because that round may confirm a leadership that has ended since.
 */
export const startReadRound = (context: StepContext): void => {
	const {state} = context;
	if (
		state.role !== 'leader' ||
		state.waitingReads.length === 0 ||
		state.pendingReads.length > 0 ||
		state.commitIndex < state.termStartIndex
	) {
		return;
	}

	state.round += 1;
	state.pendingReads = state.waitingReads.map((id) => ({
		id,
		round: state.round,
		index: state.commitIndex,
	}));
	state.waitingReads = [];
	broadcastHeartbeat(context);
	confirmReads(context);
};

/** Answers the reads whose round a majority has confirmed. */
export const confirmReads = (context: StepContext): void => {
	const {state, actions} = context;
	if (state.pendingReads.length === 0 || !isRoundConfirmed(state)) {
		return;
	}

	for (const {id, index} of state.pendingReads) {
		actions.push({type: 'reply-read', id, index});
	}

	state.confirmedRound = state.round;
	state.pendingReads = [];
	startReadRound(context);
};
