import type {RequestId, Verdict} from '@marjoramcove/types';
import type {CallKind} from './commands.ts';
import {hashText32, hashText64} from './hash.ts';
import {appendRows, countRows, filterRows, readRow} from './packed-rows.ts';

/** A settled request as it is kept: the answer is an index into the history entries. */
export type StoredRecord = {
	/** 64-bit hash of the request id. */
	idHash: bigint;
	bodyHash: number;
	turn: number;
	attempt: number;
	answered: boolean;
	verdict: Verdict;
	kind: CallKind;
	idempotent: boolean;
	/** Whether the call was refused before it got a turn. */
	refused: boolean;
	/** Index of the content type (answered) or the reason (failed) in the text table. */
	textIndex: number;
	/** Index of the answer or error message in the history entries. */
	entryIndex?: number;
};

const ROW_BYTES = 19;
const NO_ENTRY = 0xff_ff;
const FLAGS_AT = 15;
const ANSWERED = 4;
const TOOL = 8;
const IDEMPOTENT = 16;
const REFUSED = 32;
const VERDICTS: readonly Verdict[] = ['not-run', 'may-have-run', 'ran'];

/** Largest number of history entries, so that an index fits into a row. */
export const MAX_ENTRIES = NO_ENTRY;

/** Hash under which a request id is recorded. */
export const hashRequestId = (requestId: RequestId): bigint =>
	hashText64(requestId);

/** Hash under which the body hash of a request is recorded. */
export const hashBody = (bodyHash: string): number => hashText32(bodyHash);

const encodeRecord = (record: StoredRecord): Buffer => {
	const row = Buffer.alloc(ROW_BYTES);
	row.writeBigUInt64LE(record.idHash, 0);
	row.writeInt32LE(record.bodyHash, 8);
	row.writeUInt16LE(record.turn, 12);
	row.writeUInt8(record.attempt, 14);
	row.writeUInt8(
		VERDICTS.indexOf(record.verdict) +
			(record.answered ? ANSWERED : 0) +
			(record.kind === 'tool' ? TOOL : 0) +
			(record.idempotent ? IDEMPOTENT : 0) +
			(record.refused ? REFUSED : 0),
		FLAGS_AT,
	);
	row.writeUInt8(record.textIndex, 16);
	row.writeUInt16LE(record.entryIndex ?? NO_ENTRY, 17);
	return row;
};

const hasFlag = (flags: number, flag: number): boolean =>
	Math.floor(flags / flag) % 2 === 1;

/** Reads one record from packed rows. */
export const readRecord = (rows: string, index: number): StoredRecord => {
	const row = readRow(rows, ROW_BYTES, index);
	const flags = row.readUInt8(FLAGS_AT);
	const entryIndex = row.readUInt16LE(17);
	return {
		idHash: row.readBigUInt64LE(0),
		bodyHash: row.readInt32LE(8),
		turn: row.readUInt16LE(12),
		attempt: row.readUInt8(14),
		verdict: VERDICTS[flags % 4]!,
		answered: hasFlag(flags, ANSWERED),
		kind: hasFlag(flags, TOOL) ? 'tool' : 'model',
		idempotent: hasFlag(flags, IDEMPOTENT),
		refused: hasFlag(flags, REFUSED),
		textIndex: row.readUInt8(16),
		...(entryIndex !== NO_ENTRY && {entryIndex}),
	};
};

/** Finds the record of a request id. */
export const findRecord = (
	rows: string,
	requestId: RequestId,
): StoredRecord | undefined => {
	const wanted = Buffer.alloc(8);
	wanted.writeBigUInt64LE(hashRequestId(requestId));
	const key = wanted.toString('latin1');
	for (let start = rows.length - ROW_BYTES; start >= 0; start -= ROW_BYTES) {
		if (rows.startsWith(key, start)) {
			return readRecord(rows, start / ROW_BYTES);
		}
	}

	return undefined;
};

/** Packed records of a program, and the hashes of the request ids whose records were dropped. */
export type RecordLog = {records: string; forgotten: string};

const FORGOTTEN_BYTES = 4;

const forgottenKey = (idHash: bigint): Buffer => {
	const key = Buffer.alloc(FORGOTTEN_BYTES);
	key.writeUInt32LE(Number(BigInt.asUintN(32, idHash)));
	return key;
};

/**
 * Whether the record of a request id was dropped. Such a request may have run, or its refusal was
 * reported, so it must not be accepted. Another id matches with a chance of 1 in 2^32.
 */
export const isForgotten = (log: RecordLog, requestId: RequestId): boolean => {
	const key = forgottenKey(hashRequestId(requestId)).toString('latin1');
	for (let at = 0; at < log.forgotten.length; at += FORGOTTEN_BYTES) {
		if (log.forgotten.startsWith(key, at)) {
			return true;
		}
	}

	return false;
};

/** Flags of a record, without decoding the rest of its row. */
const flagsAt = (rows: string, index: number): number =>
	rows.codePointAt(index * ROW_BYTES + FLAGS_AT)!;

/** Drops all but the newest `keep` records of each droppable kind and keeps their hashes. */
export const dropOldRecords = (log: RecordLog, keep: number): void => {
	const {records} = log;
	const count = countRows(records, ROW_BYTES);
	let refusals = 0;
	for (let index = 0; index < count; index++) {
		refusals += hasFlag(flagsAt(records, index), REFUSED) ? 1 : 0;
	}

	let calls = count - refusals;
	let dropped = '';
	log.records = filterRows(records, ROW_BYTES, (index) => {
		const flags = flagsAt(records, index);
		const isRefused = hasFlag(flags, REFUSED);
		const remaining = isRefused ? refusals-- : calls--;
		// A lost record of a non-idempotent call could let the call run again.
		const isPermanent = !isRefused && !hasFlag(flags, IDEMPOTENT);
		const isKept = isPermanent || remaining <= keep;
		if (!isKept) {
			// A row begins with the hash of the request id, the lowest byte first.
			const start = index * ROW_BYTES;
			dropped += records.slice(start, start + FORGOTTEN_BYTES);
		}

		return isKept;
	});
	if (dropped !== '') {
		log.forgotten = appendRows(log.forgotten, Buffer.from(dropped, 'latin1'));
	}
};

/**
 * Appends a record. Of the records of calls, and of those of refusals, the newest `keep` stay;
 * records of non-idempotent calls always stay.
 */
export const appendRecord = (
	log: RecordLog,
	record: StoredRecord,
	keep: number,
): void => {
	log.records = appendRows(log.records, encodeRecord(record));
	if (countRows(log.records, ROW_BYTES) > keep) {
		dropOldRecords(log, keep);
	}
};

/** Number of records. */
export const countRecords = (log: RecordLog): number =>
	countRows(log.records, ROW_BYTES);

/** Number of requests whose records were dropped. */
export const countForgotten = (log: RecordLog): number =>
	countRows(log.forgotten, FORGOTTEN_BYTES);
