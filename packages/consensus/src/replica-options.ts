import type {FileSystem} from '@marjoramcove/storage';
import type {DaemonId, DiskId, GroupId} from '@marjoramcove/types';
import type {Clock} from './clock.ts';
import type {RaftRole, RaftSettings} from './raft-types.ts';
import type {stepRaft} from './step-raft.ts';

/** Options of a {@link ReplicaHost}. */
export type ReplicaHostOptions = {
	daemonId: DaemonId;
	/** Data folder on the disk. It holds the disk id, log, snapshots and histories. */
	folder: string;
	/** Sends a batch to the host of another daemon. Batches may be lost. */
	send: (to: DaemonId, batch: Uint8Array) => void;
	/** Default: the file system of the operating system. */
	fileSystem?: FileSystem;
	/** Default: the monotonic clock of the process. */
	clock?: Clock;
	/** Uniform in [0, 1). Default: `Math.random`. */
	random?: () => number;
	raft?: Partial<RaftSettings>;
	/** A snapshot is taken after this many entries. Default 10,000. */
	snapshotEveryEntries?: number;
	/**
	 * A snapshot is taken after this many bytes of entries, or after the size of the last snapshot if
	 * that is larger. Bounds the memory of the log. Default 4 MiB.
	 */
	snapshotEveryBytes?: number;
	/**
	 * Total memory of the log entries of all groups above which applied entries are dropped. Entries that
	 * a live lagging replica needs are kept up to twice this limit; a replica that lags further gets a
	 * snapshot. Default 8 MiB.
	 */
	logMemorySizeBytes?: number;
	/** Size of a segment of the write-ahead log. Default 16 MiB. */
	segmentSizeBytes?: number;
	/** Size of a history segment. Only whole segments are deleted. Default 64 MiB. */
	historySegmentSizeBytes?: number;
	/** Maximum size of a command. Default 8 MiB. */
	commandSizeBytes?: number;
	/**
	 * Minimum interval between batches of proposals. Under load, the proposals of an interval share
	 * messages and syncs. A proposal that arrives alone is not delayed. Default 0.
	 */
	proposalIntervalMs?: number;
	/** Called once when the host cannot continue. The process must stop. */
	onFatal?: (error: unknown) => void;
	/** Called on events that should be logged. */
	onEvent?: (event: string, fields: Record<string, unknown>) => void;
	/** Protocol step function. Tests wrap it to inject faults. */
	step?: typeof stepRaft;
	/** Creates the id of an empty disk. Default: a random id. */
	createDiskId?: () => string;
};

/** An initial voter. If `diskId` is not given, the group is formed when all initial voters first start. */
export type InitialVoter = {daemonId: DaemonId; diskId?: DiskId};

/** A change of the replicas of a group. */
export type ReplicaChange =
	/** Replaces the replica of `lostDaemonId` with one on a disk of `newDaemonId`. */
	| {
			type: 'replace';
			lostDaemonId: DaemonId;
			newDaemonId: DaemonId;
			/** Default: the latest disk that the daemon announced. */
			newDiskId?: DiskId;
	  }
	| {type: 'add'; daemonId: DaemonId; diskId?: DiskId}
	| {type: 'remove'; daemonId: DaemonId};

/** Leadership of a group, as known to this replica. */
export type Leadership = {
	isLeader: boolean;
	leaderId: DaemonId | undefined;
	term: number;
};

/** Status of one replica, as reported by a replica of its group. */
export type ReplicaStatus = {
	daemonId: DaemonId;
	diskId: DiskId;
	role: 'learner' | 'voter';
	/** This and the following fields are reported by the leader only. */
	matchIndex?: number;
	lagEntries?: number;
	isLive?: boolean;
};

/** Progress of the replacement of a replica, reported by the leader only. */
export type RepairStatus = {
	lostDiskId: DiskId;
	newDaemonId: DaemonId;
	newDiskId: DiskId;
	phase: 'catching-up' | 'copying' | 'removing';
	/** Fraction of the bytes copied or entries replicated to the new replica, from 0 to 1. */
	progress: number;
};

/** Status of a group on this host. */
export type GroupStatus = {
	groupId: GroupId;
	diskId: DiskId;
	role: RaftRole | 'none';
	/** Whether the replica is a member of the group and its disk accepts writes. */
	isReady: boolean;
	leaderId: DaemonId | undefined;
	term: number;
	lastIndex: number;
	commitIndex: number;
	appliedIndex: number;
	snapshotIndex: number;
	historyBytes: number;
	/** First stored offset of the history. Earlier bytes have been deleted. */
	historyStartBytes: number;
	/** History bytes deleted since the start of the process. */
	historyReclaimedBytes: number;
	/** Estimated memory of the log entries. */
	logMemoryBytes: number;
	replicas: ReplicaStatus[];
	repair: RepairStatus | undefined;
};
