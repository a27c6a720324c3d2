import {Buffer} from 'node:buffer';
import type {HistoryEntry, HistoryText} from '@marjoramcove/programs';

/** Copying a gap of this size costs less than a further read of a file, which takes a thread and promises. */
const GAP_BYTES = 16 * 1024;
/** Bounds the memory of one read; one longer entry is read alone. */
const RANGE_BYTES = 1024 * 1024;

type Range = {offset: number; endOffset: number; entries: HistoryEntry[]};

/**
 * Groups the entries of a program, in the order of their offsets, into ranges of the history stream
 * that are read at once. Entries of other programs lie between them.
 */
const planRanges = (entries: readonly HistoryEntry[]): Range[] => {
	const ranges: Range[] = [];
	for (const entry of entries) {
		const endOffset = entry.offset + entry.lengthBytes;
		const last = ranges.at(-1);
		if (
			last &&
			entry.offset >= last.endOffset &&
			entry.offset - last.endOffset <= GAP_BYTES &&
			endOffset - last.offset <= RANGE_BYTES
		) {
			last.endOffset = endOffset;
			last.entries.push(entry);
		} else {
			ranges.push({offset: entry.offset, endOffset, entries: [entry]});
		}
	}

	return ranges;
};

/**
 * Reads the texts of history entries with few reads.
 *
 * @param read - reads a range of the history stream of the shard.
 * @example
 * ```ts
 * const messages = await readTexts(historyEntries(state, programId), read);
 * ```
 */
export const readTexts = async (
	entries: readonly HistoryEntry[],
	read: (offset: number, lengthBytes: number) => Promise<Uint8Array>,
): Promise<HistoryText[]> => {
	const parts = await Promise.all(
		planRanges(entries).map(async (range) => {
			const bytes = await read(range.offset, range.endOffset - range.offset);
			const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
			return range.entries.map(({role, offset, lengthBytes}) => {
				const start = offset - range.offset;
				return {
					role,
					content: buffer.toString('utf8', start, start + lengthBytes),
				};
			});
		}),
	);
	return parts.flat();
};
