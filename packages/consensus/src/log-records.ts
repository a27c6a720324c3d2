import {DataCorruptionError} from '@marjoramcove/errors';
import type {LogRecord} from '@marjoramcove/storage';
import type {DaemonId, DiskId, GroupId} from '@marjoramcove/types';
import type {Membership} from './membership.ts';
import type {LogEntry, RaftAction} from './raft-types.ts';

const HARD_STATE = 1;
const ENTRY = 2;
const LOG_RESET = 3;
const FORMATION = 4;

const ENTRY_KINDS: ReadonlyArray<LogEntry['kind']> = [
	'command',
	'no-op',
	'membership',
];
// Index (f64), term (f64) and kind (u8), followed by the command.
const ENTRY_HEADER_BYTES = 17;

/** Formation state on this disk of a group whose disk ids are not configured. */
export type Formation = {
	/** Coordinator disks that received a promise. Only the membership formed by the last one is joined. */
	promises?: DiskId[];
	formedBy?: DiskId;
	membership?: Membership;
	/** Daemons that form the group; kept until it is formed. */
	voterIds?: DaemonId[];
};

/** State of a group that was recovered from the log of a disk. */
export type RecoveredLog = {
	term: number;
	votedFor: DiskId | undefined;
	/** The entry before the first one. Undefined when the log holds neither a reset nor an entry. */
	base: {index: number; term: number | undefined} | undefined;
	entries: LogEntry[];
	formation: Formation;
	/** Segments of the entries, in ascending order. */
	segments: EntrySegment[];
};

/** Entries up to `lastIndex` are in this segment or an earlier one. */
export type EntrySegment = {segment: number; lastIndex: number};

const jsonRecord = (
	group: GroupId,
	kind: number,
	content: unknown,
): LogRecord => ({
	group,
	kind,
	payload: Buffer.from(JSON.stringify(content)),
});

export const hardStateRecord = (
	group: GroupId,
	term: number,
	votedFor: DiskId | undefined,
): LogRecord => jsonRecord(group, HARD_STATE, {term, votedFor});

/** Record that restarts the log on disk after the given entry. */
export const resetRecord = (
	group: GroupId,
	index: number,
	term: number,
): LogRecord => jsonRecord(group, LOG_RESET, {index, term});

export const formationRecord = (
	group: GroupId,
	formation: Formation,
): LogRecord => jsonRecord(group, FORMATION, formation);

const entryRecord = (group: GroupId, entry: LogEntry): LogRecord => {
	const payload = Buffer.allocUnsafe(ENTRY_HEADER_BYTES + entry.command.length);
	payload.writeDoubleLE(entry.index, 0);
	payload.writeDoubleLE(entry.term, 8);
	payload[16] = ENTRY_KINDS.indexOf(entry.kind);
	payload.set(entry.command, ENTRY_HEADER_BYTES);
	return {group, kind: ENTRY, payload};
};

/** Returns the records that a protocol action writes. */
export const actionRecords = (
	group: GroupId,
	action: RaftAction,
): LogRecord[] => {
	if (action.type === 'save-hard-state') {
		return [hardStateRecord(group, action.term, action.votedFor)];
	}

	if (action.type === 'append-entries-to-disk') {
		return action.entries.map((entry) => entryRecord(group, entry));
	}

	return action.type === 'reset-log-on-disk'
		? [resetRecord(group, action.index, action.term)]
		: [];
};

/** Index of the entry in a record, or `undefined` when the record is not an entry. */
export const entryIndex = ({kind, payload}: LogRecord): number | undefined =>
	kind === ENTRY
		? Buffer.from(payload.buffer, payload.byteOffset, 8).readDoubleLE(0)
		: undefined;

const decodeEntry = (payload: Uint8Array): LogEntry => {
	const buffer = Buffer.from(
		payload.buffer,
		payload.byteOffset,
		payload.length,
	);
	return {
		index: buffer.readDoubleLE(0),
		term: buffer.readDoubleLE(8),
		kind: ENTRY_KINDS[buffer[16]!]!,
		// A copy, because the payload is a view of the segment and would keep all of it in memory.
		command: Buffer.from(buffer.subarray(ENTRY_HEADER_BYTES)),
	};
};

/** Recovered state of a group without records on the disk. */
export const createRecoveredLog = (): RecoveredLog => ({
	term: 0,
	votedFor: undefined,
	base: undefined,
	entries: [],
	formation: {},
	segments: [],
});

const addEntry = (log: RecoveredLog, entry: LogEntry, segment: number) => {
	log.base ??= {index: entry.index - 1, term: undefined};
	const position = entry.index - log.base.index - 1;
	if (position < 0) {
		log.base = {index: entry.index - 1, term: undefined};
		log.entries = [];
		log.segments = [];
	} else if (position > log.entries.length) {
		throw new DataCorruptionError(
			`segment ${segment} of the write-ahead log`,
			0,
			`entry ${entry.index} follows entry ${log.base.index + log.entries.length}, so entries are missing`,
		);
	} else {
		log.entries.length = position;
	}

	log.entries.push(entry);
	recordSegment(log.segments, segment, entry.index);
};

/** Records that `segment` holds the entries from `firstIndex` to `lastIndex`, replacing later ranges. */
export const recordSegment = (
	segments: EntrySegment[],
	segment: number,
	firstIndex: number,
	lastIndex = firstIndex,
): void => {
	while (segments.length > 0 && segments.at(-1)!.lastIndex >= firstIndex) {
		const last = segments.pop()!;
		const previousLastIndex = segments.at(-1)?.lastIndex ?? 0;
		if (firstIndex - 1 > previousLastIndex) {
			segments.push({segment: last.segment, lastIndex: firstIndex - 1});
		}
	}

	const last = segments.at(-1);
	if (last?.segment === segment) {
		last.lastIndex = lastIndex;
	} else {
		segments.push({segment, lastIndex});
	}
};

/**
 * Adds a record to the recovered log of its group while the write-ahead log is read.
 *
 * @example
 * ```ts
 * const logs = new Map<string, RecoveredLog>();
 * await log.recover((record, segment) => { collectRecord(logs, record, segment); });
 * ```
 */
export const collectRecord = (
	logs: Map<string, RecoveredLog>,
	record: LogRecord,
	segment: number,
): void => {
	let log = logs.get(record.group);
	if (!log) {
		log = createRecoveredLog();
		logs.set(record.group, log);
	}

	if (record.kind === ENTRY) {
		addEntry(log, decodeEntry(record.payload), segment);
		return;
	}

	const content = JSON.parse(
		Buffer.from(record.payload).toString('utf8'),
	) as unknown;
	switch (record.kind) {
		case HARD_STATE: {
			Object.assign(log, {votedFor: undefined}, content);

			break;
		}

		case LOG_RESET: {
			log.base = content as {index: number; term: number};
			log.entries = [];
			log.segments = [];

			break;
		}

		case FORMATION: {
			log.formation = content as Formation;

			break;
		}
		// No default
	}
};
