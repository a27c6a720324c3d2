import type {RequestId, Verdict} from '@marjoramcove/types';
import type {CallKind} from './commands.ts';
import {hashText32, hashText64} from './hash.ts';
import {appendRows, countRows, filterRows, readRow} from './packed-rows.ts';

/** Unpacked record of a settled or refused request. */
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
	/** Whether the call was refused before a turn was assigned to it. */
	refused: boolean;
	/** Index of the content type (answered) or the reason (failed) in the text table. */
	textIndex: number;
	/** Index of the answer or error message in the history entries. */
	entryIndex?: number;
};

const ROW_BYTES = 19;
const NO_ENTRY = 0xff_ff;
const FLAGS_OFFSET = 15;
const ANSWERED = 4;
const TOOL = 8;
const IDEMPOTENT = 16;
const REFUSED = 32;
const VERDICTS: readonly Verdict[] = ['not-run', 'may-have-run', 'ran'];

/** Maximum number of history entries; an entry index must fit into 16 bits of a row. */
export const MAX_ENTRIES = NO_ENTRY;

/** Hashes a request id as it is stored in a record. */
export const hashRequestId = (requestId: RequestId): bigint =>
	hashText64(requestId);

/** Hashes the body hash of a request as it is stored in a record. */
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
		FLAGS_OFFSET,
	);
	row.writeUInt8(record.textIndex, 16);
	row.writeUInt16LE(record.entryIndex ?? NO_ENTRY, 17);
	return row;
};

const hasFlag = (flags: number, flag: number): boolean =>
	Math.floor(flags / flag) % 2 === 1;

/** Decodes the record with the given index. */
export const readRecord = (rows: string, index: number): StoredRecord => {
	const row = readRow(rows, ROW_BYTES, index);
	const flags = row.readUInt8(FLAGS_OFFSET);
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

/** Finds the record of a request id, searching the newest records first. */
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

/** Packed records of a program, and the packed hashes of request ids whose records were dropped. */
export type RecordLog = {records: string; droppedHashes: string};

const DROPPED_HASH_BYTES = 4;

const encodeDroppedHash = (idHash: bigint): Buffer => {
	const key = Buffer.alloc(DROPPED_HASH_BYTES);
	key.writeUInt32LE(Number(BigInt.asUintN(32, idHash)));
	return key;
};

/**
 * Whether the record of a request id was dropped. Such a request may have run, or its refusal was
 * reported, so it must not be accepted. The probability of a false match with another id is 1 in 2^32
 * for each dropped record.
 */
export const isRecordDropped = (
	log: RecordLog,
	requestId: RequestId,
): boolean => {
	const key = encodeDroppedHash(hashRequestId(requestId)).toString('latin1');
	for (
		let offset = 0;
		offset < log.droppedHashes.length;
		offset += DROPPED_HASH_BYTES
	) {
		if (log.droppedHashes.startsWith(key, offset)) {
			return true;
		}
	}

	return false;
};

/** Reads the flags of a record without decoding the rest of its row. */
const readFlags = (rows: string, index: number): number =>
	rows.codePointAt(index * ROW_BYTES + FLAGS_OFFSET)!;

/**
 * Drops all but the newest `keep` refusals and all but the newest `keep` calls, except
 * non-idempotent calls. The hashes of dropped request ids are kept.
 */
export const dropOldRecords = (log: RecordLog, keep: number): void => {
	const {records} = log;
	const count = countRows(records, ROW_BYTES);
	let refusals = 0;
	for (let index = 0; index < count; index++) {
		refusals += hasFlag(readFlags(records, index), REFUSED) ? 1 : 0;
	}

	let calls = count - refusals;
	let dropped = '';
	log.records = filterRows(records, ROW_BYTES, (index) => {
		const flags = readFlags(records, index);
		const isRefused = hasFlag(flags, REFUSED);
		const remaining = isRefused ? refusals-- : calls--;
		// Without its record, a non-idempotent call could run again.
		const isPermanent = !isRefused && !hasFlag(flags, IDEMPOTENT);
		const isKept = isPermanent || remaining <= keep;
		if (!isKept) {
			// A row starts with the hash of the request id in little-endian order.
			const start = index * ROW_BYTES;
			dropped += records.slice(start, start + DROPPED_HASH_BYTES);
		}

		return isKept;
	});
	if (dropped !== '') {
		log.droppedHashes = appendRows(
			log.droppedHashes,
			Buffer.from(dropped, 'latin1'),
		);
	}
};

/**
 * Appends a record. The newest `keep` records of calls and the newest `keep` refusals are retained;
 * records of non-idempotent calls are always retained.
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

/** Returns the number of retained records. */
export const countRecords = (log: RecordLog): number =>
	countRows(log.records, ROW_BYTES);

/** Returns the number of requests whose records were dropped. */
export const countDroppedRecords = (log: RecordLog): number =>
	countRows(log.droppedHashes, DROPPED_HASH_BYTES);
