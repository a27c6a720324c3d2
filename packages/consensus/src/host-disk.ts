import path from 'node:path';
import {
	HistoryStream,
	NodeFileSystem,
	openDiskId,
	SnapshotStore,
	WriteAheadLog,
} from '@marjoramcove/storage';
import type {DiskId, GroupId} from '@marjoramcove/types';
import {type Clock, SystemClock, waitOn} from './clock.ts';
import type {GroupPort} from './group-port.ts';
import {collectRecord, type RecoveredLog} from './log-records.ts';
import {DEFAULT_RAFT_SETTINGS, type SnapshotMeta} from './raft-types.ts';
import type {ReplicaHostOptions} from './replica-options.ts';
import {stepRaft} from './step-raft.ts';

/** Interval of the attempts to write to a full disk. */
const DISK_FULL_RETRY_MS = 500;

type DiskHandlers = {
	onDiskFull: (isFull: boolean) => void;
	/** The disk cannot be used any more. */
	onFailure: (error: unknown) => void;
};

/** What a host keeps on its disk. */
export type HostDisk = {
	diskId: DiskId;
	clock: Clock;
	log: WriteAheadLog;
	snapshots: SnapshotStore<SnapshotMeta>;
	/** Logs of groups that are not added yet. */
	recovered: Map<string, RecoveredLog>;
	openHistory: (
		groupId: GroupId,
		startOffset: number | undefined,
	) => Promise<HistoryStream>;
	setHandlers: (handlers: DiskHandlers) => void;
};

/**
 * Opens the disk of a host and reads its log.
 *
 * @throws DataCorruptionError when the log is damaged before its tail.
 */
export const openHostDisk = async (
	options: ReplicaHostOptions,
): Promise<HostDisk> => {
	const {folder, fileSystem = new NodeFileSystem()} = options;
	const clock = options.clock ?? new SystemClock();
	const waitForSpace = async () => waitOn(clock, DISK_FULL_RETRY_MS);
	let handlers: DiskHandlers | undefined;
	const walFolder = path.join(folder, 'wal');
	await fileSystem.makeFolder(walFolder);
	const diskId = await openDiskId(fileSystem, folder, {
		usedFolders: ['wal'],
		createId: options.createDiskId,
	});
	const log = await WriteAheadLog.open(fileSystem, walFolder, {
		segmentSizeBytes: options.segmentSizeBytes,
		waitForSpace,
		onDiskFull(isFull) {
			handlers?.onDiskFull(isFull);
		},
	});
	const recovered = new Map<string, RecoveredLog>();
	await log.recover((record, segment) => {
		collectRecord(recovered, record, segment);
	});
	return {
		diskId,
		clock,
		log,
		recovered,
		snapshots: await SnapshotStore.open<SnapshotMeta>(
			fileSystem,
			path.join(folder, 'snapshots'),
		),
		openHistory: async (groupId, startOffset) =>
			HistoryStream.open(fileSystem, path.join(folder, 'history', groupId), {
				waitForSpace,
				startOffset,
				segmentSizeBytes: options.historySegmentSizeBytes,
				onFailure(error) {
					handlers?.onFailure(error);
				},
			}),
		setHandlers(given) {
			handlers = given;
		},
	};
};

/** The part of a group's surroundings that depends on settings and disk alone. */
export const createPortBase = (
	groupId: GroupId,
	options: ReplicaHostOptions,
	disk: HostDisk,
): Omit<
	GroupPort,
	| 'fail'
	| 'leadershipChanged'
	| 'logGrown'
	| 'scheduleProposals'
	| 'send'
	| 'snapshotSaved'
> => ({
	self: {daemonId: options.daemonId, diskId: disk.diskId},
	clock: disk.clock,
	random: options.random ?? Math.random,
	settings: {...DEFAULT_RAFT_SETTINGS, ...options.raft},
	snapshotEveryEntries: options.snapshotEveryEntries ?? 10_000,
	snapshotEveryBytes: options.snapshotEveryBytes ?? 4 * 1024 * 1024,
	step: options.step ?? stepRaft,
	snapshots: disk.snapshots,
	openHistory: async (startOffset) => disk.openHistory(groupId, startOffset),
	append: async (records) => disk.log.append(records),
	report(event, fields) {
		options.onEvent?.(event, fields);
	},
});
