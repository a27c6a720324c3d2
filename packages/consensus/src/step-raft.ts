import {compactLog, trimLog} from './trim-log.ts';
import {assertInvariant} from '@marjoramcove/errors';
import {
	continueReplacements,
	proposeMembershipChange,
} from './change-membership.ts';
import {commitByQuorum} from './commit.ts';
import {
	handleVoteRequest,
	handleVoteResponse,
	countVotes,
	startPreVote,
	handleTimeoutNow,
} from './election.ts';
import {
	handleAppend,
	handleHeartbeat,
	handleSnapshotOffer,
	installSnapshot,
} from './follower.ts';
import {appendAsLeader, tickLeader} from './leader.ts';
import type {ReplicaDescriptor} from './membership.ts';
import {
	becomeFollower,
	canCampaign,
	resetElectionTimer,
	sendMessage,
} from './raft-state.ts';
import type {
	RaftAction,
	RaftEvent,
	RaftMessage,
	RaftState,
	StepContext,
} from './raft-types.ts';
import {confirmReads, startReadRound} from './reads.ts';
import {
	handleAppendResponse,
	replicateTo,
	replicateToAll,
} from './replication.ts';
import {continueTransfer, startTransfer} from './leadership-transfer.ts';

type EventOf<Type extends RaftEvent['type']> = Extract<RaftEvent, {type: Type}>;

const tick = (context: StepContext) => {
	const {state, nowMs} = context;
	if (state.role === 'leader') {
		tickLeader(context);
		continueReplacements(context);
		return;
	}

	if (nowMs < state.electionDueMs) {
		return;
	}

	if (canCampaign(state)) {
		startPreVote(context);
	} else {
		state.skippedElections += 1;
		state.role = 'follower';
		state.leader = undefined;
		resetElectionTimer(context);
	}
};

const propose = (context: StepContext, event: EventOf<'propose'>) => {
	const {state, actions} = context;
	const isLeading =
		state.role === 'leader' && !state.isStalled && !state.transfer;
	const accepted: typeof event.proposals = [];
	let sizeBytes = state.uncommittedBytes;
	for (const proposal of event.proposals) {
		sizeBytes += proposal.command.length;
		if (isLeading && sizeBytes <= state.settings.uncommittedSizeBytes) {
			accepted.push(proposal);
		} else {
			sizeBytes -= proposal.command.length;
			actions.push({
				type: 'reject-proposal',
				id: proposal.id,
				reason: isLeading ? 'too-many-uncommitted' : 'not-leader',
			});
		}
	}

	if (accepted.length === 0) {
		return;
	}

	const entries = appendAsLeader(
		context,
		accepted.map(({command}) => ({kind: 'command' as const, command})),
	);
	for (const [position, {index, term}] of entries.entries()) {
		actions.push({type: 'proposed', id: accepted[position]!.id, index, term});
	}

	replicateToAll(context);
};

const handleSynced = (context: StepContext, event: EventOf<'synced'>) => {
	const {state} = context;
	assertInvariant(
		event.term >= state.durableTerm,
		'term-and-vote-never-go-back',
		{groupId: state.groupId, event},
		`durable term ${state.durableTerm}`,
	);
	state.durableTerm = event.term;
	state.durableVote = event.votedFor;
	// An entry that was replaced meanwhile does not count. An unchanged one implies all entries before it.
	if (state.log.termAt(event.index) === event.entryTerm) {
		state.durableIndex = Math.max(state.durableIndex, event.index);
	}

	countVotes(context);
	if (state.role === 'leader') {
		commitByQuorum(context);
		startReadRound(context);
	}
};

const handleResponse = (
	context: StepContext,
	from: ReplicaDescriptor,
	message: Extract<
		RaftMessage,
		{type: 'append-response' | 'heartbeat-response'}
	>,
) => {
	const {state, nowMs} = context;
	const progress = state.progress.get(from.diskId);
	if (state.role !== 'leader' || !progress) {
		return;
	}

	progress.lastContactMs = nowMs;
	if (message.type === 'heartbeat-response') {
		progress.round = Math.max(progress.round, message.round);
		confirmReads(context);
		return;
	}

	if (handleAppendResponse(context, from, message)) {
		commitByQuorum(context);
	}

	if (state.role === 'leader') {
		startReadRound(context);
		continueTransfer(context);
		continueReplacements(context);
		replicateTo(context, from);
	}
};

const rejectStaleTerm = (
	context: StepContext,
	from: ReplicaDescriptor,
	message: RaftMessage,
) => {
	const {state} = context;
	if (message.type === 'pre-vote') {
		sendMessage(
			context,
			from,
			{type: 'pre-vote-response', term: state.term, isGranted: false},
			true,
		);
	} else if (
		message.type === 'append' ||
		message.type === 'heartbeat' ||
		message.type === 'snapshot-offer'
	) {
		// The stale leader steps down when it receives the later term.
		sendMessage(
			context,
			from,
			{
				type: 'append-response',
				term: state.term,
				isAccepted: false,
				index: 0,
				hintIndex: 0,
			},
			true,
		);
	}
};

/** Messages that move the receiver to their term if it is later. Vote messages are handled separately. */
type TermMessage = Exclude<
	RaftMessage,
	{type: 'pre-vote-response' | 'pre-vote' | 'vote-response' | 'vote'}
>;

const handleTermMessage = (
	context: StepContext,
	from: ReplicaDescriptor,
	message: TermMessage,
) => {
	if (message.term > context.state.term) {
		becomeFollower(context, message.term);
	}

	switch (message.type) {
		case 'append': {
			handleAppend(context, from, message);
			break;
		}

		case 'heartbeat': {
			handleHeartbeat(context, from, message);
			break;
		}

		case 'snapshot-offer': {
			handleSnapshotOffer(context, from, message);
			break;
		}

		case 'timeout-now': {
			handleTimeoutNow(context);
			break;
		}

		case 'append-response':
		case 'heartbeat-response': {
			handleResponse(context, from, message);
			break;
		}
	}
};

const handleMessage = (context: StepContext, event: EventOf<'message'>) => {
	const {from, message} = event;
	if (message.term < context.state.term) {
		rejectStaleTerm(context, from, message);
	} else if (message.type === 'pre-vote' || message.type === 'vote') {
		handleVoteRequest(context, from, message);
	} else if (
		message.type === 'pre-vote-response' ||
		message.type === 'vote-response'
	) {
		handleVoteResponse(context, from, message);
	} else {
		handleTermMessage(context, from, message as TermMessage);
	}
};

const compactAfterSnapshot = (
	context: StepContext,
	event: EventOf<'snapshot-taken'>,
) => {
	const {state} = context;
	const index = Math.min(event.index, state.appliedIndex);
	const {keptEntries, keptBytes} = state.settings;
	let base = index;
	let sizeBytes = 0;
	while (base > state.log.baseIndex && index - base < keptEntries) {
		sizeBytes += state.log.at(base)!.command.length;
		if (sizeBytes > keptBytes) {
			break;
		}

		base -= 1;
	}

	compactLog(state, base);
};

const setStalled = (
	context: StepContext,
	event: EventOf<'storage-stalled'>,
) => {
	const {state} = context;
	state.isStalled = event.isStalled;
	if (event.isStalled && state.role !== 'follower') {
		becomeFollower(context, state.term);
	}
};

const read = (context: StepContext, event: EventOf<'read'>) => {
	const {state, actions} = context;
	if (state.role === 'leader' && !state.isStalled) {
		state.waitingReads.push(event.id);
		startReadRound(context);
	} else {
		actions.push({type: 'reject-read', id: event.id});
	}
};

const HANDLERS: {
	[Type in RaftEvent['type']]: (
		context: StepContext,
		event: EventOf<Type>,
	) => void;
} = {
	tick,
	message: handleMessage,
	propose,
	'change-membership'(context, event) {
		proposeMembershipChange(context, event.id, event.change);
	},
	read,
	synced: handleSynced,
	'snapshot-taken': compactAfterSnapshot,
	'trim-log': trimLog,
	'snapshot-installed'(context, event) {
		installSnapshot(context, event.meta);
	},
	'fetch-abandoned'(context) {
		context.state.isFetching = false;
	},
	'transfer-leadership': startTransfer,
	'storage-stalled': setStalled,
	'set-candidacy'(context, event) {
		context.state.isCandidacyAllowed = event.isAllowed;
	},
};

/**
 * Executes one protocol step without I/O. It takes ownership of the state and may mutate it; callers
 * must use only the returned state.
 *
 * @param random - uniform in [0, 1); draws election timeouts.
 * @throws InvariantViolationError when a protocol invariant is violated.
 * @example
 * ```ts
 * const {state, actions} = stepRaft(replica, {type: 'tick'}, nowMs, Math.random);
 * ```
 */
export const stepRaft = (
	state: RaftState,
	event: RaftEvent,
	nowMs: number,
	random: () => number,
): {state: RaftState; actions: RaftAction[]} => {
	const context: StepContext = {state, nowMs, random, actions: []};
	const handle = HANDLERS[event.type] as (
		context: StepContext,
		event: RaftEvent,
	) => void;
	handle(context, event);
	return {state, actions: context.actions};
};
