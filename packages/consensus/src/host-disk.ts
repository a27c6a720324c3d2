import path from 'node:path';
import {
	HistoryStream,
	NodeFileSystem,
	openDiskId,
	SnapshotStore,
	WriteAheadLog,
} from '@marjoramcove/storage';
import type {DiskId, GroupId} from '@marjoramcove/types';
import {type Clock, SystemClock, sleep} from './clock.ts';
import type {GroupHost} from './group-host.ts';
import {collectRecord, type RecoveredLog} from './log-records.ts';
import {DEFAULT_RAFT_SETTINGS, type SnapshotMeta} from './raft-types.ts';
import type {ReplicaHostOptions} from './replica-options.ts';
import {stepRaft} from './step-raft.ts';

/** Interval between write attempts while the disk is full. */
const DISK_FULL_RETRY_MS = 500;

type DiskHandlers = {
	onDiskFull: (isFull: boolean) => void;
	/** Called when the disk has become unusable. */
	onFailure: (error: unknown) => void;
};

/** Data that a host keeps on its disk. */
export type HostDisk = {
	diskId: DiskId;
	clock: Clock;
	log: WriteAheadLog;
	snapshots: SnapshotStore<SnapshotMeta>;
	/** Recovered logs of groups that have not been added yet. */
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
 * @throws DataCorruptionError when the log is corrupt before its tail.
 */
export const openHostDisk = async (
	options: ReplicaHostOptions,
): Promise<HostDisk> => {
	const {folder, fileSystem = new NodeFileSystem()} = options;
	const clock = options.clock ?? new SystemClock();
	const waitForSpace = async () => sleep(clock, DISK_FULL_RETRY_MS);
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
		setHandlers(newHandlers) {
			handlers = newHandlers;
		},
	};
};

/** The part of a {@link GroupHost} that depends only on the options and the disk. */
export const createGroupHostBase = (
	groupId: GroupId,
	options: ReplicaHostOptions,
	disk: HostDisk,
): Omit<
	GroupHost,
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
