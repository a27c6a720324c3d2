import type {HistoryText} from './commands.ts';
import {hashText32} from './hash.ts';
import {appendRows, countRows, readRow} from './packed-rows.ts';
import {internText, type TextTable} from './text-table.ts';

/** Where the text of one history entry is in the history stream of the shard. */
export type HistoryEntry = {
	role: string;
	/** Logical offset in the history stream, in bytes. */
	offset: number;
	lengthBytes: number;
	/** Hash of the content; see {@link hashHistoryContent}. */
	hash: string;
};

const ROW_BYTES = 15;
const OFFSET_BYTES = 6;

/** Largest content of one entry. */
export const MAX_ENTRY_BYTES = 2 ** 32 - 1;

/**
 * Bytes of a history text in the history stream: its content in UTF-8.
 *
 * @example
 * ```ts
 * for (const text of appended) stream.append(encodeHistoryText(text));
 * ```
 */
export const encodeHistoryText = (text: HistoryText): Uint8Array =>
	Buffer.from(text.content, 'utf8');

/** Hash of the content of an entry, for a check after reading it from the history stream. */
export const hashHistoryContent = (content: string): string =>
	formatHash(hashText32(content));

const formatHash = (hash: number): string =>
	(hash < 0 ? hash + 2 ** 32 : hash).toString(16).padStart(8, '0');

/** Appends an entry to packed rows. */
export const appendEntry = (
	rows: string,
	texts: TextTable,
	text: HistoryText,
	offset: number,
): string => {
	const row = Buffer.alloc(ROW_BYTES);
	row.writeUIntLE(offset, 0, OFFSET_BYTES);
	row.writeUInt32LE(Buffer.byteLength(text.content), 6);
	row.writeInt32LE(hashText32(text.content), 10);
	row.writeUInt8(internText(texts, text.role), 14);
	return appendRows(rows, row);
};

/** Number of entries in packed rows. */
export const countEntries = (rows: string): number =>
	countRows(rows, ROW_BYTES);

/** Reads one entry from packed rows. */
export const readEntry = (
	rows: string,
	texts: TextTable,
	index: number,
): HistoryEntry => {
	const row = readRow(rows, ROW_BYTES, index);
	return {
		role: texts[row.readUInt8(14)]!,
		offset: row.readUIntLE(0, OFFSET_BYTES),
		lengthBytes: row.readUInt32LE(6),
		hash: formatHash(row.readInt32LE(10)),
	};
};

/** Rows from `start` to before `end`. */
export const sliceEntries = (
	rows: string,
	start: number,
	end?: number,
): string =>
	Buffer.from(
		rows.slice(
			start * ROW_BYTES,
			end === undefined ? undefined : end * ROW_BYTES,
		),
		'latin1',
	).toString('latin1');
