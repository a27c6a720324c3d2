import {assertInvariant} from '@marjoramcove/errors';
import {advanceCommit} from './commit.ts';
import type {ReplicaDescriptor} from './membership.ts';
import {
	becomeFollower,
	decodeMembership,
	noteLeader,
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

/** Follows the sender of a message of the current term that only a leader sends. */
export const followLeader = (
	context: StepContext,
	leader: ReplicaDescriptor,
): void => {
	const {state, nowMs} = context;
	noteLeader(context, leader);
	if (state.role !== 'follower') {
		becomeFollower(context, state.term);
	}

	state.leaderContactMs = nowMs;
	state.skippedElections = 0;
	resetElectionTimer(context);
};

const respond = (
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

const storeEntries = (context: StepContext, entries: LogEntry[]) => {
	const {state, actions} = context;
	const firstNew = entries.findIndex(
		(entry) =>
			entry.index > state.log.baseIndex &&
			state.log.termAt(entry.index) !== entry.term,
	);
	if (firstNew === -1) {
		return;
	}

	const added = entries.slice(firstNew);
	if (added[0]!.index <= state.log.lastIndex) {
		truncateAfter(context, added[0]!.index - 1);
	}

	state.log.append(added);
	for (const entry of added) {
		if (entry.kind === 'membership') {
			state.memberships.push({
				index: entry.index,
				membership: decodeMembership(entry),
			});
		}
	}

	actions.push({type: 'append-entries-to-disk', entries: added});
};

/** The last entry that may match, or `undefined` when the previous entry itself matches. */
const findMismatch = (
	state: RaftState,
	previousIndex: number,
	previousTerm: number,
) => {
	if (previousIndex > state.log.lastIndex) {
		return state.log.lastIndex;
	}

	const known = state.log.termAt(previousIndex);
	if (known === undefined || known === previousTerm) {
		return undefined;
	}

	assertInvariant(
		previousIndex > state.commitIndex,
		'log-matching',
		{groupId: state.groupId, previousIndex, previousTerm},
		`the committed entry has term ${known}`,
	);
	return Math.max(
		state.commitIndex,
		state.log.firstIndexOfTerm(previousIndex) - 1,
	);
};

/** Takes entries from the leader when the one before them matches. */
export const acceptAppend = (
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
	const hintIndex = findMismatch(state, previousIndex, previousTerm);
	if (hintIndex !== undefined) {
		respond(context, from, {
			isAccepted: false,
			index: previousIndex,
			hintIndex,
		});
		return;
	}

	storeEntries(context, entries);
	const lastIndex = previousIndex + entries.length;
	advanceCommit(context, Math.min(message.commitIndex, lastIndex));
	// Everything up to the commit index matches the leader's log.
	respond(context, from, {
		isAccepted: true,
		index: Math.max(lastIndex, state.commitIndex),
	});
};

/** Confirms the leader and learns what is committed. */
export const acceptHeartbeat = (
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

/** Starts to fetch a snapshot, unless the log has passed it already. */
export const acceptSnapshotOffer = (
	context: StepContext,
	from: ReplicaDescriptor,
	message: SnapshotOffer,
): void => {
	const {state, actions} = context;
	followLeader(context, from);
	if (message.meta.index <= state.commitIndex) {
		respond(context, from, {isAccepted: true, index: state.commitIndex});
		return;
	}

	state.isFetching = true;
	actions.push({type: 'fetch-snapshot', from, meta: message.meta});
};

/** Replaces the state by a fetched snapshot that is on the disk. */
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
		respond(context, state.leader, {isAccepted: true, index: meta.index});
	}
};
