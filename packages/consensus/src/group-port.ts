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

/** Where a message goes; the disk is unknown while a group forms. */
export type PeerAddress = {daemonId: DaemonId; diskId: DiskId | ''};

/** What a group needs of its host. */
export type GroupPort = {
	self: ReplicaDescriptor;
	clock: Clock;
	random: () => number;
	settings: RaftSettings;
	snapshotEveryEntries: number;
	snapshotEveryBytes: number;
	step: typeof stepRaft;
	snapshots: SnapshotStore<SnapshotMeta>;
	openHistory: (startOffset: number | undefined) => Promise<HistoryStream>;
	/** Appends records to the shared log; resolves with their segment after the sync. */
	append: (records: LogRecord[]) => Promise<number>;
	send: (to: PeerAddress, message: PeerMessage) => void;
	/** Asks for the hand-over of the proposals that wait. */
	scheduleProposals: () => void;
	/** Entries were applied, so that the logs in memory may be trimmed. */
	logGrown: () => void;
	leadershipChanged: () => void;
	snapshotSaved: () => void;
	fail: (error: unknown) => void;
	report: (event: string, fields: Record<string, unknown>) => void;
};
