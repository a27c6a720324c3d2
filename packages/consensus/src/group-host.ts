import type {
	HistoryStream,
	LogRecord,
	SnapshotStore,
} from '@marjoramcove/storage';
import type {DaemonId, DiskId} from '@marjoramcove/types';
import type {Clock} from './clock.ts';
import type {ReplicaDescriptor} from './membership.ts';
import type {PeerMessage} from './peer-messages.ts';
import type {RaftSettings, SnapshotMeta} from './raft-types.ts';
import type {stepRaft} from './step-raft.ts';

/** Destination of a message. The disk id is empty when it is unknown, as during formation. */
export type PeerAddress = {daemonId: DaemonId; diskId: DiskId | ''};

/** Services that a host provides to each of its groups. */
export type GroupHost = {
	self: ReplicaDescriptor;
	clock: Clock;
	random: () => number;
	settings: RaftSettings;
	snapshotEveryEntries: number;
	snapshotEveryBytes: number;
	step: typeof stepRaft;
	snapshots: SnapshotStore<SnapshotMeta>;
	openHistory: (startOffset: number | undefined) => Promise<HistoryStream>;
	/** Appends records to the shared log. Resolves with their segment after the sync. */
	append: (records: LogRecord[]) => Promise<number>;
	send: (to: PeerAddress, message: PeerMessage) => void;
	/** Schedules the queued proposals to be passed to the protocol. */
	scheduleProposals: () => void;
	/** Called after entries were applied, so that the in-memory logs can be trimmed. */
	logGrown: () => void;
	leadershipChanged: () => void;
	snapshotSaved: () => void;
	fail: (error: unknown) => void;
	report: (event: string, fields: Record<string, unknown>) => void;
};
