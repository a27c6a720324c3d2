import {
	findReplica,
	isVoter,
	quorumSize,
	type ReplicaDescriptor,
} from './membership.ts';
import {
	becomeFollower,
	canCampaign,
	currentMembership,
	resetElectionTimer,
	saveHardState,
	sendMessage,
} from './raft-state.ts';
import {becomeLeader} from './leader.ts';
import type {RaftMessage, RaftState, StepContext} from './raft-types.ts';

type VoteRequest = Extract<RaftMessage, {type: 'pre-vote' | 'vote'}>;
type VoteResponse = Extract<
	RaftMessage,
	{type: 'pre-vote-response' | 'vote-response'}
>;

const requestVotes = (
	context: StepContext,
	type: 'pre-vote' | 'vote',
	isTransfer: boolean,
) => {
	const {state} = context;
	const term = type === 'pre-vote' ? state.term + 1 : state.term;
	for (const voter of currentMembership(state).voters) {
		if (voter.diskId !== state.selfId) {
			sendMessage(
				context,
				voter,
				{
					type,
					term,
					lastIndex: state.log.lastIndex,
					lastTerm: state.log.lastTerm,
					isTransfer,
				},
				// The candidate's own vote must be durable before other replicas rely on its candidacy.
				true,
			);
		}
	}
};

/** Starts a pre-vote: checks that an election can be won, without disturbing a live leader. */
export const startPreVote = (context: StepContext): void => {
	const {state} = context;
	state.role = 'pre-candidate';
	state.leader = undefined;
	state.votes = new Map([[state.selfId, true]]);
	resetElectionTimer(context);
	requestVotes(context, 'pre-vote', false);
	countPreVotes(context);
};

/** Starts an election in a new term. The candidate's own vote counts once it is durable. */
export const startElection = (
	context: StepContext,
	isTransfer: boolean,
): void => {
	const {state} = context;
	state.role = 'candidate';
	state.leader = undefined;
	state.votes.clear();
	resetElectionTimer(context);
	saveHardState(context, state.term + 1, state.selfId);
	requestVotes(context, 'vote', isTransfer);
};

const hasMajority = (state: RaftState) => {
	const membership = currentMembership(state);
	let granted = 0;
	for (const [diskId, isGranted] of state.votes) {
		if (isGranted && isVoter(membership, diskId)) {
			granted += 1;
		}
	}

	return granted >= quorumSize(membership);
};

const countPreVotes = (context: StepContext) => {
	if (hasMajority(context.state)) {
		startElection(context, false);
	}
};

/** Becomes leader when a majority granted its vote. The candidate's own vote counts once it is durable. */
export const countVotes = (context: StepContext): void => {
	const {state} = context;
	if (state.role !== 'candidate') {
		return;
	}

	if (state.durableTerm === state.term && state.durableVote === state.selfId) {
		state.votes.set(state.selfId, true);
	}

	if (hasMajority(state)) {
		const self = findReplica(currentMembership(state), state.selfId)!;
		becomeLeader(context, self);
	}
};

const isLogUpToDate = (state: RaftState, request: VoteRequest) =>
	request.lastTerm > state.log.lastTerm ||
	(request.lastTerm === state.log.lastTerm &&
		request.lastIndex >= state.log.lastIndex);

/** Whether a leader is live: this replica leads, or heard from the leader within the election timeout. */
const isLeaderLive = (context: StepContext) => {
	const {state, nowMs} = context;
	return (
		state.role === 'leader' ||
		(state.leader !== undefined &&
			nowMs - state.leaderContactMs < state.settings.electionTimeoutMinMs)
	);
};

const handlePreVoteRequest = (
	context: StepContext,
	from: ReplicaDescriptor,
	request: VoteRequest,
) => {
	const {state} = context;
	const isGranted = request.term > state.term && isLogUpToDate(state, request);
	sendMessage(
		context,
		from,
		{
			type: 'pre-vote-response',
			term: isGranted ? request.term : state.term,
			isGranted,
		},
		false,
	);
};

/** Answers a vote or pre-vote request. */
export const handleVoteRequest = (
	context: StepContext,
	from: ReplicaDescriptor,
	request: VoteRequest,
): void => {
	const {state} = context;
	if (!request.isTransfer && isLeaderLive(context)) {
		return;
	}

	if (request.type === 'pre-vote') {
		handlePreVoteRequest(context, from, request);
		return;
	}

	if (request.term > state.term) {
		becomeFollower(context, request.term);
	}

	const isGranted =
		request.term === state.term &&
		(state.votedFor === undefined || state.votedFor === from.diskId) &&
		isLogUpToDate(state, request);
	if (isGranted) {
		if (state.votedFor === undefined) {
			saveHardState(context, state.term, from.diskId);
		}

		resetElectionTimer(context);
	}

	sendMessage(
		context,
		from,
		{type: 'vote-response', term: state.term, isGranted},
		true,
	);
};

/** Counts a vote or pre-vote response. */
export const handleVoteResponse = (
	context: StepContext,
	from: ReplicaDescriptor,
	response: VoteResponse,
): void => {
	const {state} = context;
	const isPreVote = response.type === 'pre-vote-response';
	if (!response.isGranted && response.term > state.term) {
		becomeFollower(context, response.term);
		return;
	}

	if (isPreVote) {
		if (state.role === 'pre-candidate' && response.term === state.term + 1) {
			state.votes.set(from.diskId, response.isGranted);
			countPreVotes(context);
		}

		return;
	}

	if (state.role === 'candidate' && response.term === state.term) {
		state.votes.set(from.diskId, response.isGranted);
		countVotes(context);
	}
};

/** Starts an election immediately because the leader transfers its leadership to this replica. */
export const handleTimeoutNow = (context: StepContext): void => {
	if (canCampaign(context.state)) {
		startElection(context, true);
	}
};
