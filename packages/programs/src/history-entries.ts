import {ByteReader, ByteWriter} from './byte-writer.ts';
import type {HistoryText} from './commands.ts';
import {hashText32} from './hash.ts';
import type {Program} from './state.ts';
import {internText, type TextTable} from './text-table.ts';

/** Role of a history entry, and the range of its text in the history stream of the shard. */
export type HistoryEntry = {
	role: string;
	/** Logical offset in the history stream, in bytes. */
	offset: number;
	lengthBytes: number;
	/** Hash of the content; see {@link hashHistoryContent}. */
	hash: string;
};

/** Roles are among the first 8 texts of the table; see `text-table.ts`. */
const ROLE_CODES = 8;

/** Maximum length of the content of one entry. */
export const MAX_ENTRY_BYTES = 2 ** 32 - 1;

/**
 * Encodes a history text for the history stream: its content in UTF-8.
 *
 * @example
 * ```ts
 * for (const text of appended) stream.append(encodeHistoryText(text));
 * ```
 */
export const encodeHistoryText = (text: HistoryText): Uint8Array =>
	Buffer.from(text.content, 'utf8');

/** Hashes the content of an entry, to verify it after reading it from the history stream. */
export const hashHistoryContent = (content: string): string =>
	formatHash(hashText32(content));

const formatHash = (hash: number): string =>
	(hash < 0 ? hash + 2 ** 32 : hash).toString(16).padStart(8, '0');

/** Packed entries of a program. The start of each is stored as its distance from the end of the previous one. */
export type EntryLog = Pick<Program, 'entries' | 'entryCount' | 'entriesEnd'>;

const writer = new ByteWriter();

/** Appends an entry. */
export const appendEntry = (
	log: EntryLog,
	texts: TextTable,
	text: HistoryText,
	offset: number,
): void => {
	const lengthBytes = Buffer.byteLength(text.content);
	const role = internText(texts, text.role);
	if (role >= ROLE_CODES) {
		throw new RangeError(`${text.role} is not a role of history entries.`);
	}

	writer.writeNumber((offset - log.entriesEnd) * ROLE_CODES + role);
	writer.writeNumber(lengthBytes);
	writer.writeHash(hashText32(text.content));
	log.entries += writer.finish();
	log.entryCount++;
	log.entriesEnd = offset + lengthBytes;
};

/** Reads the entry at the position of the reader; `end` is the end offset of the previous entry. */
const readNextEntry = (
	reader: ByteReader,
	texts: TextTable,
	end: number,
): HistoryEntry => {
	const head = reader.readNumber();
	return {
		role: texts[head % ROLE_CODES]!,
		offset: end + Math.floor(head / ROLE_CODES),
		lengthBytes: reader.readNumber(),
		hash: formatHash(reader.readHash()),
	};
};

/** Skips the entry at the position of the reader; returns its end offset. */
const skipNextEntry = (reader: ByteReader, end: number): number => {
	const offset = end + Math.floor(reader.readNumber() / ROLE_CODES);
	const lengthBytes = reader.readNumber();
	reader.skipHash();
	return offset + lengthBytes;
};

/** Reads all entries, oldest first. */
export const readEntries = (
	{entries}: Pick<EntryLog, 'entries'>,
	texts: TextTable,
): HistoryEntry[] => {
	const reader = new ByteReader(entries);
	const found: HistoryEntry[] = [];
	let end = 0;
	while (!reader.isAtEnd) {
		const entry = readNextEntry(reader, texts, end);
		end = entry.offset + entry.lengthBytes;
		found.push(entry);
	}

	return found;
};

/** Reads the entry with the given index. */
export const readEntry = (
	{entries}: Pick<EntryLog, 'entries'>,
	texts: TextTable,
	index: number,
): HistoryEntry => {
	const reader = new ByteReader(entries);
	let end = 0;
	for (let skipped = 0; skipped < index; skipped++) {
		end = skipNextEntry(reader, end);
	}

	return readNextEntry(reader, texts, end);
};

/** Removes all but the oldest `count` entries. */
export const truncateEntries = (log: EntryLog, count: number): void => {
	const reader = new ByteReader(log.entries);
	let end = 0;
	for (let index = 0; index < count; index++) {
		end = skipNextEntry(reader, end);
	}

	log.entries = log.entries.slice(0, reader.position);
	log.entryCount = count;
	log.entriesEnd = end;
};
