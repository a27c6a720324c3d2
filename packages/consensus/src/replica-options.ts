import type {FileSystem} from '@marjoramcove/storage';
import type {DaemonId, DiskId, GroupId} from '@marjoramcove/types';
import type {Clock} from './clock.ts';
import type {RaftRole, RaftSettings} from './raft-types.ts';
import type {stepRaft} from './step-raft.ts';

/** Settings of a {@link ReplicaHost}. */
export type ReplicaHostOptions = {
	daemonId: DaemonId;
	/** Folder of the disk: identity, log, snapshots and histories. */
	folder: string;
	/** Sends a batch to the host of another daemon; it may lose it. */
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
	 * A snapshot is taken after this many bytes of entries, or after as many as the last snapshot has
	 * if that is more. It bounds the memory that the log takes. Default 4 MiB.
	 */
	snapshotEveryBytes?: number;
	/**
	 * Memory that the entries of all groups may take together before applied ones are dropped; a live
	 * replica that is behind can double it. A replica that is further behind gets a snapshot. Default
	 * 8 MiB.
	 */
	logMemorySizeBytes?: number;
	/** Size of a segment of the write-ahead log. Default 16 MiB. */
	segmentSizeBytes?: number;
	/** Size of a segment of a history; whole segments are deleted. Default 64 MiB. */
	historySegmentSizeBytes?: number;
	/** Largest command. Default 8 MiB. */
	commandSizeBytes?: number;
	/**
	 * Least time between two hand-overs of proposals to the protocol. Under load, proposals of this time
	 * share messages and syncs; one that comes alone is not delayed. Default 0.
	 */
	proposalIntervalMs?: number;
	/** Called once when the host cannot continue: the process must stop. */
	onFatal?: (error: unknown) => void;
	/** Called on events worth a log line. */
	onEvent?: (event: string, fields: Record<string, unknown>) => void;
	/** The protocol; tests wrap it to inject faults. */
	step?: typeof stepRaft;
	/** Creates the identity of an empty disk. Default: a random one. */
	createDiskId?: () => string;
};

/** An initial voter. Without `diskId` the first start of all initial voters forms the group. */
export type InitialVoter = {daemonId: DaemonId; diskId?: DiskId};

/** A change of the replicas of a group. */
export type ReplicaChange =
	/** Puts a replica on the disk of `newDaemonId` in the place of the one of `lostDaemonId`. */
	| {
			type: 'replace';
			lostDaemonId: DaemonId;
			newDaemonId: DaemonId;
			/** Default: the disk that announced itself. */
			newDiskId?: DiskId;
	  }
	| {type: 'add'; daemonId: DaemonId; diskId?: DiskId}
	| {type: 'remove'; daemonId: DaemonId};

/** Who leads a group, as this replica knows it. */
export type Leadership = {
	isLeader: boolean;
	leaderId: DaemonId | undefined;
	term: number;
};

/** State of one replica as its leader, or the replica itself, sees it. */
export type ReplicaStatus = {
	daemonId: DaemonId;
	diskId: DiskId;
	role: 'learner' | 'voter';
	/** Only the leader knows the following fields. */
	matchIndex?: number;
	lagEntries?: number;
	isLive?: boolean;
};

/** Progress of the replacement of a replica; only the leader knows it. */
export type RepairStatus = {
	lostDiskId: DiskId;
	newDaemonId: DaemonId;
	newDiskId: DiskId;
	phase: 'catching-up' | 'copying' | 'removing';
	/** Share of the entries, or of the copied bytes, that the new replica has; 0 to 1. */
	progress: number;
};

/** State of a group on this host. */
export type GroupStatus = {
	groupId: GroupId;
	diskId: DiskId;
	role: RaftRole | 'none';
	/** Whether the replica can take part: it belongs to the group and its disk takes writes. */
	isReady: boolean;
	leaderId: DaemonId | undefined;
	term: number;
	lastIndex: number;
	commitIndex: number;
	appliedIndex: number;
	snapshotIndex: number;
	historyBytes: number;
	/** First stored offset of the history; what was before it has been deleted. */
	historyStartBytes: number;
	/** Bytes of the history that were deleted since the start of the process. */
	historyReclaimedBytes: number;
	/** Memory that the entries of the log take. */
	logMemoryBytes: number;
	replicas: ReplicaStatus[];
	repair: RepairStatus | undefined;
};
