import type {DiskId, GroupId} from '@marjoramcove/types';
import type {
	Membership,
	MembershipChange,
	ReplicaDescriptor,
} from './membership.ts';
import type {RaftLog} from './raft-log.ts';

/** One entry of the replicated log. */
export type LogEntry = {
	index: number;
	term: number;
	/** A new leader starts with a `no-op`. `membership` carries a {@link Membership} as JSON. */
	kind: 'command' | 'membership' | 'no-op';
	command: Uint8Array;
};

/** Protocol settings. All replicas of a group must use the same values. */
export type RaftSettings = {
	heartbeatMs: number;
	electionTimeoutMinMs: number;
	electionTimeoutMaxMs: number;
	/** Maximum bytes of entries in one append message. A single larger entry is sent on its own. */
	appendSizeBytes: number;
	/** Maximum unanswered append messages to one replica. */
	appendsInFlight: number;
	/** Entries before a snapshot that stay in memory, so that slightly lagging replicas need no snapshot. */
	keptEntries: number;
	/** Maximum bytes of these entries. */
	keptBytes: number;
	/** Maximum bytes of uncommitted proposals. Further proposals are refused. */
	uncommittedSizeBytes: number;
};

export const DEFAULT_RAFT_SETTINGS: RaftSettings = {
	heartbeatMs: 100,
	electionTimeoutMinMs: 1000,
	electionTimeoutMaxMs: 2000,
	appendSizeBytes: 256 * 1024,
	appendsInFlight: 8,
	keptEntries: 1000,
	keptBytes: 2 * 1024 * 1024,
	uncommittedSizeBytes: 16 * 1024 * 1024,
};

/** Metadata of a snapshot. */
export type SnapshotMeta = {
	/** Last log entry that the snapshot contains. */
	index: number;
	term: number;
	membership: Membership;
	/** Length of the history stream after the entry at `index`. */
	historyBytes: number;
	/** First history offset that the snapshot refers to. Absent means 0. */
	historyStart?: number;
	/** Size of the encoded state machine. */
	sizeBytes: number;
};

export type RaftMessage =
	| {
			type: 'pre-vote' | 'vote';
			term: number;
			lastIndex: number;
			lastTerm: number;
			/** Whether the leader requested this election, which may then replace a live leader. */
			isTransfer: boolean;
	  }
	| {
			type: 'pre-vote-response' | 'vote-response';
			term: number;
			isGranted: boolean;
	  }
	| {
			type: 'append';
			term: number;
			previousIndex: number;
			previousTerm: number;
			commitIndex: number;
			entries: LogEntry[];
	  }
	| {
			type: 'append-response';
			term: number;
			isAccepted: boolean;
			/** If accepted, the last durable entry that matches; otherwise the rejected previous index. */
			index: number;
			/** If rejected, the last entry that may match. */
			hintIndex: number;
	  }
	| {type: 'heartbeat'; term: number; commitIndex: number; round: number}
	| {type: 'heartbeat-response'; term: number; round: number}
	| {type: 'timeout-now'; term: number}
	| {type: 'snapshot-offer'; term: number; meta: SnapshotMeta};

export type RaftEvent =
	| {type: 'tick'}
	| {type: 'message'; from: ReplicaDescriptor; message: RaftMessage}
	| {type: 'propose'; proposals: Array<{id: number; command: Uint8Array}>}
	| {type: 'change-membership'; id: number; change: MembershipChange}
	| {type: 'read'; id: number}
	/** All entries up to this one, and this vote, are durable. */
	| {
			type: 'synced';
			index: number;
			entryTerm: number;
			term: number;
			votedFor: DiskId | undefined;
	  }
	| {type: 'snapshot-taken'; index: number}
	/** The log uses too much memory. Entries that are applied and durable may be dropped. */
	| {
			type: 'trim-log';
			sizeBytes: number;
			/** Last entry of the latest snapshot. A replica that fetches it needs the entries after it. */
			snapshotIndex: number;
			/** Whether entries are dropped even if a live replica still needs them. */
			isForced: boolean;
	  }
	/** A fetched snapshot is on disk and may replace the state. */
	| {type: 'snapshot-installed'; meta: SnapshotMeta}
	/** The fetch of a snapshot was aborted. */
	| {type: 'fetch-abandoned'}
	| {type: 'transfer-leadership'}
	/** The disk has stopped or resumed accepting writes. */
	| {type: 'storage-stalled'; isStalled: boolean}
	/** The replica must not campaign in elections, or may campaign again. */
	| {type: 'set-candidacy'; isAllowed: boolean};

export type RaftAction =
	/** The entries replace all entries on disk from the first index on. */
	| {type: 'append-entries-to-disk'; entries: LogEntry[]}
	| {type: 'save-hard-state'; term: number; votedFor: DiskId | undefined}
	/** The log on disk restarts after this entry. */
	| {type: 'reset-log-on-disk'; index: number; term: number}
	| {
			type: 'send';
			to: ReplicaDescriptor;
			message: RaftMessage;
			/** Whether the message is delayed until all earlier writes of this group are durable. */
			isAfterSync: boolean;
	  }
	| {type: 'apply'; entries: LogEntry[]}
	| {type: 'proposed'; id: number; index: number; term: number}
	| {type: 'reject-proposal'; id: number; reason: ProposalRefusal}
	| {type: 'reply-read'; id: number; index: number}
	| {type: 'reject-read'; id: number}
	| {type: 'become-leader'; term: number}
	| {type: 'step-down'; term: number}
	| {type: 'leader-known'; term: number}
	| {type: 'offer-snapshot'; to: ReplicaDescriptor}
	| {type: 'fetch-snapshot'; from: ReplicaDescriptor; meta: SnapshotMeta}
	| {type: 'restore-snapshot'; meta: SnapshotMeta};

export type ProposalRefusal =
	| 'change-not-applicable'
	| 'change-under-way'
	| 'not-leader'
	| 'too-many-uncommitted';

/** Replication progress of another replica, as its leader knows it. */
export type Progress = {
	mode: 'probe' | 'replicate' | 'snapshot';
	/** Last entry that is known to be durable on the replica. */
	matchIndex: number;
	nextIndex: number;
	/** Last index of each unanswered append. */
	inFlight: number[];
	/** Time of the last progress or of the first unanswered message, whichever is later. */
	waitingSinceMs: number;
	lastContactMs: number;
	/** Highest commit index that was sent to the replica. */
	sentCommitIndex: number;
	/** Highest read round that the replica has confirmed. */
	round: number;
};

export type RaftRole = 'candidate' | 'follower' | 'leader' | 'pre-candidate';

export type PendingRead = {id: number; round: number; index: number};

/** Protocol state of one replica. Only {@link stepRaft} changes it. */
export type RaftState = {
	groupId: GroupId;
	selfId: DiskId;
	settings: RaftSettings;
	term: number;
	votedFor: DiskId | undefined;
	durableTerm: number;
	durableVote: DiskId | undefined;
	log: RaftLog;
	/** Last entry that is durable on this replica's disk. */
	durableIndex: number;
	commitIndex: number;
	appliedIndex: number;
	/** Memberships in the log and the index of their entry, oldest first, starting at the base entry. */
	memberships: Array<{index: number; membership: Membership}>;
	role: RaftRole;
	/** The current leader, if known. */
	leader: ReplicaDescriptor | undefined;
	/** Leader of the latest term with a known leader, used to assert that a term has only one. */
	leaderOfTerm: {term: number; diskId: DiskId} | undefined;
	electionDueMs: number;
	leaderContactMs: number;
	heartbeatDueMs: number;
	votes: Map<DiskId, boolean>;
	progress: Map<DiskId, Progress>;
	/** Index of the no-op that this replica appended when it became leader. */
	termStartIndex: number;
	leaderSinceMs: number;
	round: number;
	confirmedRound: number;
	/** Reads that wait for the next read round. */
	waitingReads: number[];
	pendingReads: PendingRead[];
	transfer: {to: DiskId; dueMs: number} | undefined;
	/** Voters that did not take over, and the time from which they are tried again. */
	failedTransfers: {to: DiskId[]; retryMs: number};
	isStalled: boolean;
	/** Whether a snapshot is being fetched. No entry is applied meanwhile, to keep the history in order. */
	isFetching: boolean;
	isCandidacyAllowed: boolean;
	/** Election timeouts that passed because the replica must not campaign. */
	skippedElections: number;
	uncommittedBytes: number;
};

/** Input state and collected actions of one protocol step. */
export type StepContext = {
	state: RaftState;
	nowMs: number;
	/** Uniform in [0, 1). */
	random: () => number;
	actions: RaftAction[];
};
