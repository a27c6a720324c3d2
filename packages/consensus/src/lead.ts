import {
	isVoter,
	quorumSize,
	type Membership,
	type ReplicaDescriptor,
} from './membership.ts';
import {commitByQuorum} from './commit.ts';
import {
	becomeFollower,
	currentMembership,
	isLive,
	noteLeader,
} from './raft-state.ts';
import {broadcastHeartbeat, startReadRound} from './reads.ts';
import {replicateToAll, retryReplication} from './replicate.ts';
import type {LogEntry, Progress, RaftState, StepContext} from './raft-types.ts';

/**
 * Election timeouts for which a leader takes proposals again after no voter took over. It takes none
 * during a transfer; when all voters drain at once, they would otherwise never settle their last calls.
 */
const TRANSFER_PAUSE = 5;

const createProgress = (state: RaftState, nowMs: number): Progress => ({
	mode: 'probe',
	matchIndex: 0,
	nextIndex: state.log.lastIndex + 1,
	inFlight: [],
	waitingSinceMs: nowMs,
	lastContactMs: nowMs,
	sentCommitIndex: 0,
	round: 0,
});

/** Keeps a progress record for exactly the other members. */
export const trackMembers = (
	context: StepContext,
	membership: Membership,
): void => {
	const {state, nowMs} = context;
	const others = new Set(
		[...membership.voters, ...membership.learners]
			.map((replica) => replica.diskId)
			.filter((diskId) => diskId !== state.selfId),
	);
	for (const diskId of state.progress.keys()) {
		if (!others.has(diskId)) {
			state.progress.delete(diskId);
		}
	}

	for (const diskId of others) {
		if (!state.progress.has(diskId)) {
			state.progress.set(diskId, createProgress(state, nowMs));
		}
	}
};

/** Appends entries to the own log as leader; they are sent by {@link replicateToAll}. */
export const appendAsLeader = (
	context: StepContext,
	drafts: Array<Pick<LogEntry, 'command' | 'kind'>>,
): LogEntry[] => {
	const {state, actions} = context;
	const entries = drafts.map((draft, position) => ({
		index: state.log.lastIndex + 1 + position,
		term: state.term,
		...draft,
	}));
	state.log.append(entries);
	actions.push({type: 'append-entries-to-disk', entries});
	for (const entry of entries) {
		state.uncommittedBytes += entry.command.length;
	}

	return entries;
};

/** Starts a leadership with a no-op, which commits everything before it. */
export const becomeLeader = (
	context: StepContext,
	self: ReplicaDescriptor,
): void => {
	const {state, actions, nowMs} = context;
	state.role = 'leader';
	state.votes.clear();
	state.progress.clear();
	state.round = 0;
	state.confirmedRound = 0;
	state.leaderSinceMs = nowMs;
	state.skippedElections = 0;
	state.heartbeatDueMs = nowMs;
	state.uncommittedBytes = 0;
	noteLeader(context, self);
	trackMembers(context, currentMembership(state));
	actions.push({type: 'become-leader', term: state.term});
	const [noOp] = appendAsLeader(context, [
		{kind: 'no-op', command: new Uint8Array()},
	]);
	state.termStartIndex = noOp!.index;
	replicateToAll(context);
};

/** Whether a majority of the voters answered within the shortest election timeout. */
const hasLiveQuorum = (context: StepContext) => {
	const {state, nowMs} = context;
	const membership = currentMembership(state);
	let live = isVoter(membership, state.selfId) ? 1 : 0;
	for (const voter of membership.voters) {
		const progress = state.progress.get(voter.diskId);
		if (progress && isLive(state, progress, nowMs)) {
			live += 1;
		}
	}

	return live >= quorumSize(membership);
};

/**
 * Heartbeat interval. When every replica has everything, a longer one keeps the idle cost low and
 * still allows several lost heartbeats within the shortest election timeout.
 */
const heartbeatInterval = (state: RaftState) => {
	const {heartbeatMs, electionTimeoutMinMs} = state.settings;
	const isQuiet =
		state.pendingReads.length === 0 &&
		state.commitIndex === state.log.lastIndex &&
		[...state.progress.values()].every(
			(progress) =>
				progress.matchIndex === state.commitIndex &&
				progress.sentCommitIndex === state.commitIndex,
		);
	return isQuiet
		? Math.max(heartbeatMs, electionTimeoutMinMs / 4)
		: heartbeatMs;
};

/** Ends a transfer whose target did not take over. */
const giveUpTransfer = ({state, nowMs}: StepContext) => {
	if (state.transfer && nowMs >= state.transfer.dueMs) {
		state.failedTransfers = {
			to: [...state.failedTransfers.to, state.transfer.to],
			retryMs: nowMs + TRANSFER_PAUSE * state.settings.electionTimeoutMinMs,
		};
		state.transfer = undefined;
	}
};

/** Periodic work of a leader. */
export const tickLeader = (context: StepContext): void => {
	const {state, nowMs} = context;
	if (state.isStalled || !hasLiveQuorum(context)) {
		becomeFollower(context, state.term);
		return;
	}

	giveUpTransfer(context);

	if (nowMs >= state.heartbeatDueMs) {
		broadcastHeartbeat(context);
	}

	const intervalMs = heartbeatInterval(state);
	// Heartbeats of all groups fall on the same multiples, so that they share a message per peer.
	state.heartbeatDueMs = (Math.floor(nowMs / intervalMs) + 1) * intervalMs;
	retryReplication(context);
	commitByQuorum(context);
	startReadRound(context);
};
