import {countTokens} from './generate-text.ts';

/** A change of the prefix cache as an engine reports it. */
export type CacheEvent = {
	sequence: number;
	type: 'stored' | 'evicted' | 'released' | 'imported';
	programId: string;
	tokens: number;
};

type Entry = {text: string; usedAt: number; running: number};

const commonPrefixLength = (left: string, right: string): number => {
	const limit = Math.min(left.length, right.length);
	let length = 0;
	while (length < limit && left[length] === right[length]) {
		length++;
	}

	return length;
};

/**
 * Prefix cache and holds of an engine. One entry per program; the least recently used entry without
 * a running call is evicted when the memory is full.
 */
export class EngineMemory {
	readonly #entries = new Map<string, Entry>();
	readonly #events: Array<CacheEvent & {atMs: number}> = [];
	readonly #capacityTokens: number;
	#sequence = 0;
	#clock = 0;

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

	/** Tokens of a prompt that are cached, from any program that shares the prefix. */
	cachedTokens(prompt: string): number {
		let longest = 0;
		for (const entry of this.#entries.values()) {
			longest = Math.max(longest, commonPrefixLength(entry.text, prompt));
		}

		return Math.floor(longest / 4);
	}

	/** Marks a call of a program as running; its memory cannot be evicted until {@link leave}. */
	enter(programId: string): void {
		const entry = this.#entries.get(programId) ?? {
			text: '',
			usedAt: 0,
			running: 0,
		};
		entry.running++;
		entry.usedAt = ++this.#clock;
		this.#entries.set(programId, entry);
	}

	leave(programId: string): void {
		const entry = this.#entries.get(programId);
		if (entry) {
			entry.running = Math.max(0, entry.running - 1);
		}
	}

	/** Stores the computed prefix of a program and evicts others when the memory is full. */
	store(
		programId: string,
		text: string,
		type: 'stored' | 'imported' = 'stored',
	): void {
		const entry = this.#entries.get(programId);
		this.#entries.set(programId, {
			text,
			usedAt: ++this.#clock,
			running: entry?.running ?? 0,
		});
		this.#report(type, programId, countTokens(text));
		this.#evict(programId);
	}

	/** Frees the memory of a program; false when nothing was held. */
	release(programId: string): boolean {
		const entry = this.#entries.get(programId);
		if (!entry) {
			return false;
		}

		this.#entries.delete(programId);
		this.#report('released', programId, countTokens(entry.text));
		return true;
	}

	text(programId: string): string | undefined {
		return this.#entries.get(programId)?.text;
	}

	held(): Array<{programId: string; tokens: number}> {
		return [...this.#entries].map(([programId, entry]) => ({
			programId,
			tokens: countTokens(entry.text),
		}));
	}

	/** Events after a sequence number that are old enough, without each n-th one. */
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

	#evict(keep: string): void {
		const candidates = [...this.#entries]
			.filter(([programId, entry]) => programId !== keep && entry.running === 0)
			.toSorted(([, left], [, right]) => left.usedAt - right.usedAt);
		for (const [programId, entry] of candidates) {
			if (this.tokens <= this.#capacityTokens) {
				return;
			}

			this.#entries.delete(programId);
			this.#report('evicted', programId, countTokens(entry.text));
		}
	}

	#report(type: CacheEvent['type'], programId: string, tokens: number): void {
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
