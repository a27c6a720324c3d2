import {assertInvariant} from '@marjoramcove/errors';
import {advanceCommit} from './commit.ts';
import type {ReplicaDescriptor} from './membership.ts';
import {
	becomeFollower,
	decodeMembership,
	setLeader,
	resetElectionTimer,
	sendMessage,
} from './raft-state.ts';
import type {
	LogEntry,
	RaftMessage,
	RaftState,
	SnapshotMeta,
	StepContext,
} from './raft-types.ts';

type Append = Extract<RaftMessage, {type: 'append'}>;
type Heartbeat = Extract<RaftMessage, {type: 'heartbeat'}>;
type SnapshotOffer = Extract<RaftMessage, {type: 'snapshot-offer'}>;

/** Becomes a follower of the leader that sent a message of the current term. */
export const followLeader = (
	context: StepContext,
	leader: ReplicaDescriptor,
): void => {
	const {state, nowMs} = context;
	setLeader(context, leader);
	if (state.role !== 'follower') {
		becomeFollower(context, state.term);
	}

	state.leaderContactMs = nowMs;
	state.skippedElections = 0;
	resetElectionTimer(context);
};

const sendAppendResponse = (
	context: StepContext,
	to: ReplicaDescriptor,
	result: {isAccepted: boolean; index: number; hintIndex?: number},
) => {
	sendMessage(
		context,
		to,
		{
			type: 'append-response',
			term: context.state.term,
			hintIndex: 0,
			...result,
		},
		true,
	);
};

const truncateAfter = (context: StepContext, index: number) => {
	const {state} = context;
	assertInvariant(
		index >= state.commitIndex,
		'committed-entries-never-change',
		{groupId: state.groupId, index},
		`committed up to ${state.commitIndex}`,
	);
	state.log.truncateAfter(index);
	state.durableIndex = Math.min(state.durableIndex, index);
	while (
		state.memberships.length > 1 &&
		state.memberships.at(-1)!.index > index
	) {
		state.memberships.pop();
	}
};

const appendNewEntries = (context: StepContext, entries: LogEntry[]) => {
	const {state, actions} = context;
	const firstNewPosition = entries.findIndex(
		(entry) =>
			entry.index > state.log.baseIndex &&
			state.log.termAt(entry.index) !== entry.term,
	);
	if (firstNewPosition === -1) {
		return;
	}

	const newEntries = entries.slice(firstNewPosition);
	if (newEntries[0]!.index <= state.log.lastIndex) {
		truncateAfter(context, newEntries[0]!.index - 1);
	}

	state.log.append(newEntries);
	for (const entry of newEntries) {
		if (entry.kind === 'membership') {
			state.memberships.push({
				index: entry.index,
				membership: decodeMembership(entry),
			});
		}
	}

	actions.push({type: 'append-entries-to-disk', entries: newEntries});
};

/**
 * Checks the entry that precedes an append. Returns `undefined` when it matches, and otherwise the
 * index of the last entry that may match.
 */
const findHintIndex = (
	state: RaftState,
	previousIndex: number,
	previousTerm: number,
) => {
	if (previousIndex > state.log.lastIndex) {
		return state.log.lastIndex;
	}

	const localTerm = state.log.termAt(previousIndex);
	if (localTerm === undefined || localTerm === previousTerm) {
		return undefined;
	}

	assertInvariant(
		previousIndex > state.commitIndex,
		'log-matching',
		{groupId: state.groupId, previousIndex, previousTerm},
		`the committed entry has term ${localTerm}`,
	);
	return Math.max(
		state.commitIndex,
		state.log.firstIndexOfTerm(previousIndex) - 1,
	);
};

/** Appends the leader's entries if the entry before them matches, and rejects them otherwise. */
export const handleAppend = (
	context: StepContext,
	from: ReplicaDescriptor,
	message: Append,
): void => {
	const {state} = context;
	followLeader(context, from);
	if (state.isFetching) {
		return;
	}

	const {previousIndex, previousTerm, entries} = message;
	const hintIndex = findHintIndex(state, previousIndex, previousTerm);
	if (hintIndex !== undefined) {
		sendAppendResponse(context, from, {
			isAccepted: false,
			index: previousIndex,
			hintIndex,
		});
		return;
	}

	appendNewEntries(context, entries);
	const lastIndex = previousIndex + entries.length;
	advanceCommit(context, Math.min(message.commitIndex, lastIndex));
	// All entries up to the commit index match the leader's log.
	sendAppendResponse(context, from, {
		isAccepted: true,
		index: Math.max(lastIndex, state.commitIndex),
	});
};

/** Answers a heartbeat and takes the leader's commit index. */
export const handleHeartbeat = (
	context: StepContext,
	from: ReplicaDescriptor,
	message: Heartbeat,
): void => {
	const {state} = context;
	followLeader(context, from);
	if (!state.isFetching) {
		advanceCommit(context, Math.min(message.commitIndex, state.log.lastIndex));
	}

	sendMessage(
		context,
		from,
		{type: 'heartbeat-response', term: state.term, round: message.round},
		state.term !== state.durableTerm,
	);
};

/** Starts fetching the offered snapshot unless its entries are committed here already. */
export const handleSnapshotOffer = (
	context: StepContext,
	from: ReplicaDescriptor,
	message: SnapshotOffer,
): void => {
	const {state, actions} = context;
	followLeader(context, from);
	if (message.meta.index <= state.commitIndex) {
		sendAppendResponse(context, from, {
			isAccepted: true,
			index: state.commitIndex,
		});
		return;
	}

	state.isFetching = true;
	actions.push({type: 'fetch-snapshot', from, meta: message.meta});
};

/** Replaces the state with a fetched snapshot that is on disk. */
export const installSnapshot = (
	context: StepContext,
	meta: SnapshotMeta,
): void => {
	const {state, actions} = context;
	state.isFetching = false;
	if (meta.index <= state.commitIndex) {
		return;
	}

	if (state.role !== 'follower') {
		becomeFollower(context, state.term);
	}

	if (state.log.termAt(meta.index) === meta.term) {
		state.log.compact(meta.index);
	} else {
		state.log.reset(meta.index, meta.term);
		actions.push({
			type: 'reset-log-on-disk',
			index: meta.index,
			term: meta.term,
		});
	}

	state.memberships = [
		{index: meta.index, membership: meta.membership},
		...state.memberships.filter(
			(known) => known.index > meta.index && known.index <= state.log.lastIndex,
		),
	];
	state.durableIndex = Math.max(
		meta.index,
		Math.min(state.durableIndex, state.log.lastIndex),
	);
	state.commitIndex = meta.index;
	state.appliedIndex = meta.index;
	actions.push({type: 'restore-snapshot', meta});
	if (state.leader) {
		sendAppendResponse(context, state.leader, {
			isAccepted: true,
			index: meta.index,
		});
	}
};
