import {assertInvariant} from '@marjoramcove/errors';
import type {DiskId, GroupId} from '@marjoramcove/types';
import {
	EMPTY_MEMBERSHIP,
	isVoter,
	type Membership,
	type ReplicaDescriptor,
} from './membership.ts';
import {RaftLog} from './raft-log.ts';
import type {
	Progress,
	LogEntry,
	RaftMessage,
	RaftSettings,
	RaftState,
	StepContext,
} from './raft-types.ts';

/** State of a replica that was recovered from its disk. */
export type RecoveredReplica = {
	groupId: GroupId;
	selfId: DiskId;
	term: number;
	votedFor: DiskId | undefined;
	baseIndex: number;
	baseTerm: number;
	/** Membership at the base entry. */
	membership: Membership;
	entries: LogEntry[];
	/** Last entry that the snapshot contains, which is committed and applied. */
	snapshotIndex: number;
};

/** Decodes the membership in an entry. */
export const decodeMembership = (entry: LogEntry): Membership =>
	JSON.parse(Buffer.from(entry.command).toString('utf8')) as Membership;

const recoverMemberships = (recovered: RecoveredReplica) => [
	{index: recovered.baseIndex, membership: recovered.membership},
	...recovered.entries
		.filter((entry) => entry.kind === 'membership')
		.map((entry) => ({
			index: entry.index,
			membership: decodeMembership(entry),
		})),
];

/** The part of the state that does not survive a restart. */
const createVolatileState = () => ({
	leader: undefined,
	leaderOfTerm: undefined,
	leaderContactMs: Number.NEGATIVE_INFINITY,
	heartbeatDueMs: 0,
	votes: new Map(),
	progress: new Map(),
	termStartIndex: 0,
	leaderSinceMs: 0,
	round: 0,
	confirmedRound: 0,
	waitingReads: [],
	pendingReads: [],
	transfer: undefined,
	failedTransfers: {to: [], retryMs: 0},
	isStalled: false,
	isFetching: false,
	isCandidacyAllowed: true,
	skippedElections: 0,
	uncommittedBytes: 0,
});

/**
 * Factor that shortens the first election timeout after a start. After a restart of all replicas, it
 * saves most of a timeout. The pre-vote keeps an early attempt from disturbing a live leader.
 */
const INITIAL_ELECTION_TIMEOUT_FACTOR = 0.3;

/**
 * Creates the state of a replica as a follower.
 *
 * @example
 * ```ts
 * const state = createRaftState(recovered, DEFAULT_RAFT_SETTINGS, 0, Math.random);
 * ```
 */
export const createRaftState = (
	recovered: RecoveredReplica,
	settings: RaftSettings,
	nowMs: number,
	random: () => number,
): RaftState => {
	const log = new RaftLog(
		recovered.baseIndex,
		recovered.baseTerm,
		recovered.entries,
	);
	return {
		groupId: recovered.groupId,
		selfId: recovered.selfId,
		settings,
		term: recovered.term,
		votedFor: recovered.votedFor,
		durableTerm: recovered.term,
		durableVote: recovered.votedFor,
		log,
		durableIndex: log.lastIndex,
		commitIndex: recovered.snapshotIndex,
		appliedIndex: recovered.snapshotIndex,
		memberships: recoverMemberships(recovered),
		...createVolatileState(),
		role: 'follower',
		electionDueMs:
			nowMs +
			INITIAL_ELECTION_TIMEOUT_FACTOR * randomElectionTimeout(settings, random),
	};
};

const randomElectionTimeout = (settings: RaftSettings, random: () => number) =>
	settings.electionTimeoutMinMs +
	random() * (settings.electionTimeoutMaxMs - settings.electionTimeoutMinMs);

/** The latest membership in the log, committed or not. */
export const currentMembership = (state: RaftState): Membership =>
	state.memberships.at(-1)?.membership ?? EMPTY_MEMBERSHIP;

/** Whether the replica has neither voted nor accepted an entry or a membership. */
export const isPristine = (state: RaftState): boolean =>
	state.term === 0 &&
	state.log.lastIndex === 0 &&
	currentMembership(state).voters.length === 0;

/** The membership in force at a log index. */
export const membershipAt = (state: RaftState, index: number): Membership =>
	state.memberships.findLast((known) => known.index <= index)?.membership ??
	EMPTY_MEMBERSHIP;

/**
 * Election timeouts that a draining replica lets pass without a candidacy. It then campaigns anyway,
 * because it may be the only one whose log is complete enough to win.
 */
const MAX_SKIPPED_ELECTIONS = 3;

/** Whether the replica may start an election. */
export const canCampaign = (state: RaftState): boolean =>
	(state.isCandidacyAllowed ||
		state.skippedElections >= MAX_SKIPPED_ELECTIONS) &&
	!state.isStalled &&
	!state.isFetching &&
	isVoter(currentMembership(state), state.selfId);

export const resetElectionTimer = (context: StepContext): void => {
	const {state, nowMs, random} = context;
	state.electionDueMs = nowMs + randomElectionTimeout(state.settings, random);
};

/** Sets the term and vote, and writes them to disk. */
export const saveHardState = (
	context: StepContext,
	term: number,
	votedFor: DiskId | undefined,
): void => {
	const {state, actions} = context;
	assertInvariant(
		term > state.durableTerm ||
			(term === state.durableTerm &&
				(state.durableVote === undefined || state.durableVote === votedFor)),
		'term-and-vote-never-go-back',
		{groupId: state.groupId, term, votedFor},
		`durable term ${state.durableTerm}, vote ${state.durableVote}`,
	);
	state.term = term;
	state.votedFor = votedFor;
	actions.push({type: 'save-hard-state', term, votedFor});
};

/** Records the leader of the current term and asserts that the term has no other leader. */
export const setLeader = (
	context: StepContext,
	leader: ReplicaDescriptor,
): void => {
	const {state, actions} = context;
	const known = state.leaderOfTerm;
	assertInvariant(
		known?.term !== state.term || known.diskId === leader.diskId,
		'one-leader-per-term',
		{groupId: state.groupId, term: state.term, leader},
		`leader ${known?.diskId} is already known for this term`,
	);
	state.leaderOfTerm = {term: state.term, diskId: leader.diskId};
	if (state.leader?.diskId !== leader.diskId) {
		state.leader = leader;
		actions.push({type: 'leader-known', term: state.term});
	}
};

const stepDown = (context: StepContext) => {
	const {state, actions} = context;
	actions.push({type: 'step-down', term: state.term});
	for (const id of [
		...state.waitingReads,
		...state.pendingReads.map((read) => read.id),
	]) {
		actions.push({type: 'reject-read', id});
	}

	state.waitingReads = [];
	state.pendingReads = [];
	state.transfer = undefined;
	state.failedTransfers = {to: [], retryMs: 0};
	state.progress.clear();
	state.leader = undefined;
	state.uncommittedBytes = 0;
	resetElectionTimer(context);
};

/** Ends a leadership or candidacy, and enters `term` if it is later than the current term. */
export const becomeFollower = (context: StepContext, term: number): void => {
	const {state} = context;
	if (state.role === 'leader') {
		stepDown(context);
	}

	state.role = 'follower';
	state.votes.clear();
	if (term > state.term) {
		state.leader = undefined;
		saveHardState(context, term, undefined);
	}
};

/** Adds an action that sends a message to a replica. */
export const sendMessage = (
	context: StepContext,
	to: ReplicaDescriptor,
	message: RaftMessage,
	isAfterSync: boolean,
): void => {
	context.actions.push({type: 'send', to, message, isAfterSync});
};

/** Whether a replica answered within the minimum election timeout. */
export const isLive = (
	state: RaftState,
	progress: Progress,
	nowMs: number,
): boolean =>
	nowMs - progress.lastContactMs < state.settings.electionTimeoutMinMs;
