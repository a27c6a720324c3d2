import {countTokens} from './generate-text.ts';

/** A prefix cache event as an engine reports it. */
export type CacheEvent = {
	sequence: number;
	type: 'stored' | 'evicted' | 'released' | 'imported';
	programId: string;
	tokens: number;
};

type Entry = {text: string; lastUse: number; runningCalls: number};

const commonPrefixLength = (left: string, right: string): number => {
	const limit = Math.min(left.length, right.length);
	let length = 0;
	while (length < limit && left[length] === right[length]) {
		length++;
	}

	return length;
};

/**
 * Prefix cache of an engine, with one entry per program. When the memory is full, the least recently
 * used entry without a running call is evicted.
 */
export class EngineMemory {
	readonly #entries = new Map<string, Entry>();
	readonly #events: Array<CacheEvent & {atMs: number}> = [];
	readonly #capacityTokens: number;
	#sequence = 0;
	#useCounter = 0;

	constructor(capacityTokens: number) {
		this.#capacityTokens = capacityTokens;
	}

	get tokens(): number {
		let sum = 0;
		for (const entry of this.#entries.values()) {
			sum += countTokens(entry.text);
		}

		return sum;
	}

	/** Returns the number of cached prompt tokens; a prefix shared with any program counts. */
	cachedTokens(prompt: string): number {
		let longest = 0;
		for (const entry of this.#entries.values()) {
			longest = Math.max(longest, commonPrefixLength(entry.text, prompt));
		}

		return Math.floor(longest / 4);
	}

	/** Marks a call of a program as running; its entry is not evicted until {@link endCall}. */
	beginCall(programId: string): void {
		const entry = this.#entries.get(programId) ?? {
			text: '',
			lastUse: 0,
			runningCalls: 0,
		};
		entry.runningCalls++;
		entry.lastUse = ++this.#useCounter;
		this.#entries.set(programId, entry);
	}

	endCall(programId: string): void {
		const entry = this.#entries.get(programId);
		if (entry) {
			entry.runningCalls = Math.max(0, entry.runningCalls - 1);
		}
	}

	/** Stores the computed prefix of a program, and evicts other entries when the memory is full. */
	store(
		programId: string,
		text: string,
		type: 'stored' | 'imported' = 'stored',
	): void {
		const entry = this.#entries.get(programId);
		this.#entries.set(programId, {
			text,
			lastUse: ++this.#useCounter,
			runningCalls: entry?.runningCalls ?? 0,
		});
		this.#recordEvent(type, programId, countTokens(text));
		this.#evict(programId);
	}

	/** Releases the entry of a program; returns false when there is none. */
	release(programId: string): boolean {
		const entry = this.#entries.get(programId);
		if (!entry) {
			return false;
		}

		this.#entries.delete(programId);
		this.#recordEvent('released', programId, countTokens(entry.text));
		return true;
	}

	readText(programId: string): string | undefined {
		return this.#entries.get(programId)?.text;
	}

	listEntries(): Array<{programId: string; tokens: number}> {
		return [...this.#entries].map(([programId, entry]) => ({
			programId,
			tokens: countTokens(entry.text),
		}));
	}

	/** Returns the events after a sequence number that are older than the lag, without every n-th one. */
	eventsSince(
		sequence: number,
		{lagMs, dropEveryNth}: {lagMs: number; dropEveryNth: number},
	): CacheEvent[] {
		const visibleUntil = Date.now() - lagMs;
		return this.#events
			.filter(
				(event) =>
					event.sequence > sequence &&
					event.atMs <= visibleUntil &&
					(dropEveryNth === 0 || event.sequence % dropEveryNth !== 0),
			)
			.map(({atMs, ...event}) => event);
	}

	#evict(keptProgramId: string): void {
		const candidates = [...this.#entries]
			.filter(
				([programId, entry]) =>
					programId !== keptProgramId && entry.runningCalls === 0,
			)
			.toSorted(([, left], [, right]) => left.lastUse - right.lastUse);
		for (const [programId, entry] of candidates) {
			if (this.tokens <= this.#capacityTokens) {
				return;
			}

			this.#entries.delete(programId);
			this.#recordEvent('evicted', programId, countTokens(entry.text));
		}
	}

	#recordEvent(
		type: CacheEvent['type'],
		programId: string,
		tokens: number,
	): void {
		this.#events.push({
			sequence: ++this.#sequence,
			type,
			programId,
			tokens,
			atMs: Date.now(),
		});
		if (this.#events.length > 10_000) {
			this.#events.splice(0, 5000);
		}
	}
}
