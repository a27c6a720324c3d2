import {ByteReader, ByteWriter} from './byte-writer.ts';
import type {HistoryText} from './commands.ts';
import {hashText32} from './hash.ts';
import type {Program} from './state.ts';
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

/** Roles are among the first texts of the table; see `text-table.ts`. */
const ROLE_CODES = 8;

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

/** The packed entries of a program. Each begins where its gap after the previous one says. */
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
		throw new RangeError(`The role ${text.role} is not a role of entries.`);
	}

	writer.writeNumber((offset - log.entriesEnd) * ROLE_CODES + role);
	writer.writeNumber(lengthBytes);
	writer.writeHash(hashText32(text.content));
	log.entries += writer.finish();
	log.entryCount++;
	log.entriesEnd = offset + lengthBytes;
};

/** Reads the entry at the position of the reader; `end` is the offset after the previous one. */
const readNext = (
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

/** Skips an entry; returns the offset after it. */
const skipNext = (reader: ByteReader, end: number): number => {
	const offset = end + Math.floor(reader.readNumber() / ROLE_CODES);
	const lengthBytes = reader.readNumber();
	reader.skipHash();
	return offset + lengthBytes;
};

/** Reads all entries, the oldest first. */
export const readEntries = (
	{entries}: Pick<EntryLog, 'entries'>,
	texts: TextTable,
): HistoryEntry[] => {
	const reader = new ByteReader(entries);
	const found: HistoryEntry[] = [];
	let end = 0;
	while (!reader.isAtEnd) {
		const entry = readNext(reader, texts, end);
		end = entry.offset + entry.lengthBytes;
		found.push(entry);
	}

	return found;
};

/** Reads one entry. */
export const readEntry = (
	{entries}: Pick<EntryLog, 'entries'>,
	texts: TextTable,
	index: number,
): HistoryEntry => {
	const reader = new ByteReader(entries);
	let end = 0;
	for (let skipped = 0; skipped < index; skipped++) {
		end = skipNext(reader, end);
	}

	return readNext(reader, texts, end);
};

/** Keeps only the oldest entries. */
export const keepEntries = (log: EntryLog, count: number): void => {
	const reader = new ByteReader(log.entries);
	let end = 0;
	for (let index = 0; index < count; index++) {
		end = skipNext(reader, end);
	}

	log.entries = log.entries.slice(0, reader.position);
	log.entryCount = count;
	log.entriesEnd = end;
};
