import {DataCorruptionError} from '@marjoramcove/errors';
import type {LogRecord} from '@marjoramcove/storage';
import type {DiskId, GroupId} from '@marjoramcove/types';
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
// Index f64, term f64, kind u8; then the command.
const ENTRY_HEADER_BYTES = 17;

/** How a group without known disk ids was, or will be, formed on this disk. */
export type Formation = {
	/** Coordinator disks that were promised; only what the last one forms is joined. */
	promises?: DiskId[];
	formedBy?: DiskId;
	membership?: Membership;
};

/** What the log of one disk holds of a group. */
export type RecoveredLog = {
	term: number;
	votedFor: DiskId | undefined;
	/** The entry before the first one; undefined when the log holds no reset and no entry. */
	base: {index: number; term: number | undefined} | undefined;
	entries: LogEntry[];
	formation: Formation;
	/** Segment of each entry, as ascending ranges. */
	segments: EntrySegment[];
};

/** Entries up to this index are in this segment or in an earlier one. */
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

/** The log on the disk starts anew after this entry. */
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

/** The records that an action of the protocol writes. */
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

/** Index of the entry in a record, or `undefined` when the record holds none. */
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
		// A copy, because the payload is a view of a whole segment.
		command: Buffer.from(buffer.subarray(ENTRY_HEADER_BYTES)),
	};
};

/** What a disk without records of the group holds. */
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
			`entry ${entry.index} follows entry ${log.base.index + log.entries.length}`,
		);
	} else {
		log.entries.length = position;
	}

	log.entries.push(entry);
	noteSegment(log.segments, segment, entry.index);
};

/** Records that the entries from `firstIndex` to `lastIndex`, which replace later ones, are in this segment. */
export const noteSegment = (
	segments: EntrySegment[],
	segment: number,
	firstIndex: number,
	lastIndex = firstIndex,
): void => {
	while (segments.length > 0 && segments.at(-1)!.lastIndex >= firstIndex) {
		const last = segments.pop()!;
		const before = segments.at(-1)?.lastIndex ?? 0;
		if (firstIndex - 1 > before) {
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
 * Collects the records of all groups while the write-ahead log is read.
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
