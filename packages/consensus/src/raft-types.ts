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
	/** `no-op` starts a leadership; `membership` carries a {@link Membership} as JSON. */
	kind: 'command' | 'membership' | 'no-op';
	command: Uint8Array;
};

/** Settings of the protocol; all replicas of a group must use the same values. */
export type RaftSettings = {
	heartbeatMs: number;
	electionTimeoutMinMs: number;
	electionTimeoutMaxMs: number;
	/** Upper bound of the entries of one append message; one larger entry is sent alone. */
	appendSizeBytes: number;
	/** Append messages under way to one replica. */
	appendsInFlight: number;
	/** Entries kept behind a snapshot, so that a replica that is little behind needs no snapshot. */
	keptEntries: number;
	/** Upper bound of the bytes of these entries. */
	keptBytes: number;
	/** Bytes of proposals that are not committed yet; more are refused. */
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

/** Description of a snapshot that a leader offers. */
export type SnapshotMeta = {
	/** Last log entry that the snapshot contains. */
	index: number;
	term: number;
	membership: Membership;
	/** Length of the history stream after this entry. */
	historyBytes: number;
	/** First offset of the history that the snapshot refers to; 0 when absent. */
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
			/** The leader asked for this election, so it may interrupt a live leadership. */
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
			/** When accepted, the last durable entry that matches; otherwise the refused previous index. */
			index: number;
			/** When refused, the last entry that may match. */
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
	/** Everything up to this entry and this vote is on the disk. */
	| {
			type: 'synced';
			index: number;
			entryTerm: number;
			term: number;
			votedFor: DiskId | undefined;
	  }
	| {type: 'snapshot-taken'; index: number}
	/** The log takes too much memory; entries that are applied and durable may go. */
	| {
			type: 'trim-log';
			sizeBytes: number;
			/** Last entry of the latest snapshot; a replica that fetches it needs what follows. */
			snapshotIndex: number;
			/** Whether entries go that a live replica still needs. */
			isForced: boolean;
	  }
	/** A fetched snapshot is on the disk and may replace the state. */
	| {type: 'snapshot-installed'; meta: SnapshotMeta}
	/** The fetch of a snapshot was given up. */
	| {type: 'fetch-abandoned'}
	| {type: 'transfer-leadership'}
	/** The disk takes no writes, or takes them again. */
	| {type: 'storage-stalled'; isStalled: boolean}
	/** The replica leaves elections to others, or stands for election again. */
	| {type: 'set-candidacy'; isAllowed: boolean};

export type RaftAction =
	/** Entries from the first index on replace whatever the disk holds there. */
	| {type: 'append-entries-to-disk'; entries: LogEntry[]}
	| {type: 'save-hard-state'; term: number; votedFor: DiskId | undefined}
	/** The log on the disk starts anew after this entry. */
	| {type: 'reset-log-on-disk'; index: number; term: number}
	| {
			type: 'send';
			to: ReplicaDescriptor;
			message: RaftMessage;
			/** The message may leave only when all earlier writes of this group are durable. */
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

/** What a leader knows of another replica. */
export type Progress = {
	mode: 'probe' | 'replicate' | 'snapshot';
	/** Last entry that is known to be durable there. */
	matchIndex: number;
	nextIndex: number;
	/** Last index of each append under way. */
	inFlight: number[];
	/** Time of the last progress or of the last message that awaits an answer. */
	waitingSinceMs: number;
	lastContactMs: number;
	/** Highest commit index that was sent. */
	sentCommitIndex: number;
	/** Highest read round that was confirmed. */
	round: number;
};

export type RaftRole = 'candidate' | 'follower' | 'leader' | 'pre-candidate';

export type PendingRead = {id: number; round: number; index: number};

/** State of one replica. Only {@link stepRaft} changes it. */
export type RaftState = {
	groupId: GroupId;
	selfId: DiskId;
	settings: RaftSettings;
	term: number;
	votedFor: DiskId | undefined;
	durableTerm: number;
	durableVote: DiskId | undefined;
	log: RaftLog;
	/** Last entry that is durable on the own disk. */
	durableIndex: number;
	commitIndex: number;
	appliedIndex: number;
	/** Memberships in the log with the index of their entry, oldest first; the first is at the base. */
	memberships: Array<{index: number; membership: Membership}>;
	role: RaftRole;
	/** The live leader, when it is known. */
	leader: ReplicaDescriptor | undefined;
	/** The leader of the latest term that had one, to assert that it is the only one. */
	leaderOfTerm: {term: number; diskId: DiskId} | undefined;
	electionDueMs: number;
	leaderContactMs: number;
	heartbeatDueMs: number;
	votes: Map<DiskId, boolean>;
	progress: Map<DiskId, Progress>;
	/** Index of the no-op of the own leadership. */
	termStartIndex: number;
	leaderSinceMs: number;
	round: number;
	confirmedRound: number;
	/** Reads that wait for a round to start. */
	waitingReads: number[];
	pendingReads: PendingRead[];
	transfer: {to: DiskId; dueMs: number} | undefined;
	/** Voters that did not take over, and the time from which they are asked again. */
	failedTransfers: {to: DiskId[]; retryMs: number};
	isStalled: boolean;
	/** A snapshot is being fetched; nothing may be applied, or the history would get out of order. */
	isFetching: boolean;
	isCandidacyAllowed: boolean;
	/** Election timeouts that passed without a candidacy because it is not allowed. */
	skippedElections: number;
	uncommittedBytes: number;
};

/** Working data of one step. */
export type StepContext = {
	state: RaftState;
	nowMs: number;
	/** Uniform in [0, 1). */
	random: () => number;
	actions: RaftAction[];
};
