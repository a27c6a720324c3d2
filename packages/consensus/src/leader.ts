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
	setLeader,
} from './raft-state.ts';
import {broadcastHeartbeat, startReadRound} from './reads.ts';
import {replicateToAll, retryReplication} from './replication.ts';
import type {LogEntry, Progress, RaftState, StepContext} from './raft-types.ts';

/**
 * Multiple of the minimum election timeout before a leader retries voters that did not take over.
 * Proposals are rejected during a transfer, so without this pause the last calls would never be
 * settled when all voters drain at once.
 */
const TRANSFER_RETRY_FACTOR = 5;

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

/** Creates missing progress records of other members and deletes those of removed ones. */
export const updateTrackedMembers = (
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

/** Appends entries to the leader's log. {@link replicateToAll} sends them to the other replicas. */
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

/** Becomes leader and appends a no-op, whose commit also commits all earlier entries. */
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
	setLeader(context, self);
	updateTrackedMembers(context, currentMembership(state));
	actions.push({type: 'become-leader', term: state.term});
	const [noOp] = appendAsLeader(context, [
		{kind: 'no-op', command: new Uint8Array()},
	]);
	state.termStartIndex = noOp!.index;
	replicateToAll(context);
};

/** Whether a majority of the voters answered within the minimum election timeout. */
const hasLiveQuorum = (context: StepContext) => {
	const {state, nowMs} = context;
	const membership = currentMembership(state);
	let liveVoters = isVoter(membership, state.selfId) ? 1 : 0;
	for (const voter of membership.voters) {
		const progress = state.progress.get(voter.diskId);
		if (progress && isLive(state, progress, nowMs)) {
			liveVoters += 1;
		}
	}

	return liveVoters >= quorumSize(membership);
};

/**
 * Heartbeat interval. When all replicas are up to date, it is longer to reduce idle traffic, yet short
 * enough that several heartbeats may be lost within the minimum election timeout.
 */
const heartbeatInterval = (state: RaftState) => {
	const {heartbeatMs, electionTimeoutMinMs} = state.settings;
	const isIdle =
		state.pendingReads.length === 0 &&
		state.commitIndex === state.log.lastIndex &&
		[...state.progress.values()].every(
			(progress) =>
				progress.matchIndex === state.commitIndex &&
				progress.sentCommitIndex === state.commitIndex,
		);
	return isIdle ? Math.max(heartbeatMs, electionTimeoutMinMs / 4) : heartbeatMs;
};

/** Aborts a transfer whose target did not take over in time. */
const abortOverdueTransfer = ({state, nowMs}: StepContext) => {
	if (state.transfer && nowMs >= state.transfer.dueMs) {
		state.failedTransfers = {
			to: [...state.failedTransfers.to, state.transfer.to],
			retryMs:
				nowMs + TRANSFER_RETRY_FACTOR * state.settings.electionTimeoutMinMs,
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

	abortOverdueTransfer(context);

	if (nowMs >= state.heartbeatDueMs) {
		broadcastHeartbeat(context);
	}

	const intervalMs = heartbeatInterval(state);
	// Aligned to multiples of the interval, so that heartbeats of all groups share one batch per peer.
	state.heartbeatDueMs = (Math.floor(nowMs / intervalMs) + 1) * intervalMs;
	retryReplication(context);
	commitByQuorum(context);
	startReadRound(context);
};
