import type {LogEntry} from './raft-types.ts';

/** Estimated memory of an entry in addition to its command. */
const ENTRY_OVERHEAD_BYTES = 200;

const sizeOf = (entries: readonly LogEntry[]): number => {
	let sizeBytes = 0;
	for (const {command} of entries) {
		sizeBytes += command.length + ENTRY_OVERHEAD_BYTES;
	}

	return sizeBytes;
};

/**
 * In-memory log that holds the entries after a base entry.
 *
 * @example
 * ```ts
 * const log = new RaftLog(0, 0);
 * log.append([{index: 1, term: 1, kind: 'no-op', command: new Uint8Array()}]);
 * ```
 */
export class RaftLog {
	#baseIndex: number;
	#baseTerm: number;
	#entries: LogEntry[];
	#sizeBytes: number;

	constructor(baseIndex: number, baseTerm: number, entries: LogEntry[] = []) {
		this.#baseIndex = baseIndex;
		this.#baseTerm = baseTerm;
		this.#entries = entries;
		this.#sizeBytes = sizeOf(entries);
	}

	/** Estimated memory of the entries. */
	get sizeBytes(): number {
		return this.#sizeBytes;
	}

	/** Index of the entry before the first held one. */
	get baseIndex(): number {
		return this.#baseIndex;
	}

	get baseTerm(): number {
		return this.#baseTerm;
	}

	get lastIndex(): number {
		return this.baseIndex + this.#entries.length;
	}

	get lastTerm(): number {
		return this.#entries.at(-1)?.term ?? this.baseTerm;
	}

	/** Term of the entry at the index, or `undefined` when the log does not hold it. */
	termAt(index: number): number | undefined {
		return index === this.baseIndex
			? this.baseTerm
			: this.#entries[index - this.baseIndex - 1]?.term;
	}

	at(index: number): LogEntry | undefined {
		return this.#entries[index - this.baseIndex - 1];
	}

	/** Entries from `first` up to and including `last`. */
	slice(first: number, last: number): LogEntry[] {
		return this.#entries.slice(
			first - this.baseIndex - 1,
			last - this.baseIndex,
		);
	}

	append(entries: readonly LogEntry[]): void {
		for (const entry of entries) {
			this.#entries.push(entry);
		}

		this.#sizeBytes += sizeOf(entries);
	}

	/** Removes the entries after `index`. */
	truncateAfter(index: number): void {
		this.#sizeBytes -= sizeOf(this.#entries.splice(index - this.baseIndex));
	}

	/** Drops the entries up to and including `index`. */
	compact(index: number): void {
		this.#baseTerm = this.termAt(index)!;
		const dropped = this.#entries.slice(0, index - this.baseIndex);
		this.#sizeBytes -= sizeOf(dropped);
		this.#entries = this.#entries.slice(dropped.length);
		this.#baseIndex = index;
	}

	/** Drops all entries and restarts the log after the given entry. */
	reset(index: number, term: number): void {
		this.#baseIndex = index;
		this.#baseTerm = term;
		this.#entries = [];
		this.#sizeBytes = 0;
	}

	/** Index up to which entries must be dropped so that at most `sizeBytes` remain. */
	findTrimIndex(sizeBytes: number): number {
		let remainingBytes = this.#sizeBytes;
		let index = this.baseIndex;
		while (remainingBytes > sizeBytes && index < this.lastIndex) {
			index += 1;
			remainingBytes -= this.at(index)!.command.length + ENTRY_OVERHEAD_BYTES;
		}

		return index;
	}

	/** First index of the contiguous entries that have the same term as `index`. */
	firstIndexOfTerm(index: number): number {
		const term = this.termAt(index);
		let first = index;
		while (first > this.baseIndex + 1 && this.termAt(first - 1) === term) {
			first -= 1;
		}

		return first;
	}
}
