import type {SharedPart} from './server-table.ts';

/** Pairs of a server and a shared part that are kept; the ones told longest ago are dropped first. */
const MAX_ENTRIES = 4096;

/** Age after which news is of no use, because the server may have evicted the part. */
const MAX_AGE_MS = 4000;

/** What a reader of a {@link NewsLedger} has read. */
export type NewsPosition = {
	/** The ledger that it read. */
	ledgerId: string;
	sequence: number;
};

type Entry = {
	part: SharedPart;
	from: string;
	sequence: number;
	atMs: number;
};

/**
 * Passes on which servers were sent which shared parts. A reader gets what was told since it last read,
 * and everything from a ledger that it has not read before.
 *
 * @example
 * ```ts
 * const ledger = new NewsLedger('control-1');
 * ledger.note('entry-1', [{serverId, id: '5c1e', tokens: 12_600}], nowMs);
 * const {shared, position} = ledger.read('entry-2', undefined, nowMs);
 * ```
 */
export class NewsLedger {
	readonly #id: string;
	/** In the order of their sequence. */
	readonly #entries = new Map<string, Entry>();
	#sequence = 0;

	/** @param id - changes with each life of the process that holds the ledger. */
	constructor(id: string) {
		this.#id = id;
	}

	note(from: string, shared: readonly SharedPart[], nowMs: number): void {
		for (const part of shared) {
			const key = `${part.serverId} ${part.id}`;
			this.#sequence++;
			this.#entries.delete(key);
			this.#entries.set(key, {
				part,
				from,
				sequence: this.#sequence,
				atMs: nowMs,
			});
		}

		this.#dropOld(nowMs);
	}

	/** What others than the reader told since its position. */
	read(
		reader: string,
		position: NewsPosition | undefined,
		nowMs: number,
	): {shared: SharedPart[]; position: NewsPosition} {
		this.#dropOld(nowMs);
		const since = position?.ledgerId === this.#id ? position.sequence : 0;
		const shared: SharedPart[] = [];
		for (const {part, from, sequence} of [
			...this.#entries.values(),
		].toReversed()) {
			if (sequence <= since) {
				break;
			}

			if (from !== reader) {
				shared.push(part);
			}
		}

		return {
			shared,
			position: {ledgerId: this.#id, sequence: this.#sequence},
		};
	}

	#dropOld(nowMs: number): void {
		for (const [key, {atMs}] of this.#entries) {
			if (nowMs - atMs <= MAX_AGE_MS && this.#entries.size <= MAX_ENTRIES) {
				return;
			}

			this.#entries.delete(key);
		}
	}
}
