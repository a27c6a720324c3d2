import type {SharedPart} from './server-table.ts';

/** Maximum number of entries; the oldest are discarded first. */
const MAX_ENTRIES = 4096;

/** Age after which an entry is discarded, because the server may have evicted the part. */
const MAX_AGE_MS = 4000;

/** Position of a reader in a {@link SharedPartLog}. */
export type SharedPartLogPosition = {
	/** Id of the log that the sequence number belongs to. */
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
 * A bounded log of the shared prompt parts that daemons sent to servers, one entry per part and server.
 * A reader receives the entries after its last position, or all entries of a log that it has not read
 * before.
 *
 * @example
 * ```ts
 * const log = new SharedPartLog('control-1');
 * log.append('entry-1', [{serverId, id: '5c1e', tokens: 12_600}], nowMs);
 * const {shared, position} = log.read('entry-2', undefined, nowMs);
 * ```
 */
export class SharedPartLog {
	readonly #id: string;
	/** Ordered by sequence number. */
	readonly #entries = new Map<string, Entry>();
	#sequence = 0;

	/** @param id - unique per incarnation of the process that holds the log. */
	constructor(id: string) {
		this.#id = id;
	}

	/**
	 * Appends the parts that the daemon `from` sent; an entry replaces an earlier one of the same part
	 * and server.
	 */
	append(from: string, shared: readonly SharedPart[], nowMs: number): void {
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

		this.#discardOld(nowMs);
	}

	/** Returns the entries of other daemons after the position, newest first. */
	read(
		reader: string,
		position: SharedPartLogPosition | undefined,
		nowMs: number,
	): {shared: SharedPart[]; position: SharedPartLogPosition} {
		this.#discardOld(nowMs);
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

	#discardOld(nowMs: number): void {
		for (const [key, {atMs}] of this.#entries) {
			if (nowMs - atMs <= MAX_AGE_MS && this.#entries.size <= MAX_ENTRIES) {
				return;
			}

			this.#entries.delete(key);
		}
	}
}
