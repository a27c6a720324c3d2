/** Maximum number of parts per server; the least recently used are evicted first, as in engines. */
const MAX_PARTS = 512;

/**
 * Time after which an engine may have evicted an unused part. On the grown sites of docs/measurements.md
 * an engine prefills as many tokens as its memory holds in about 5 s.
 */
const CACHE_LIFETIME_MS = 4000;

/** A part of a prompt. The part that holds a session keeps its id and grows with each turn. */
export type PromptPart = {id: string; tokens: number};

/**
 * Estimates which prompt parts are in the prefix cache of a server, from the parts that were recently
 * sent to it.
 *
 * @example
 * ```ts
 * const prefixCache = new PrefixCacheEstimate();
 * prefixCache.record({id: '5c1e', tokens: 800}, nowMs);
 * prefixCache.cachedTokens('5c1e', nowMs); // 800
 * ```
 */
export class PrefixCacheEstimate {
	/** Ordered by last use. */
	readonly #parts = new Map<string, {tokens: number; usedAtMs: number}>();

	/** Returns the cached tokens of a part; 0 when it was not sent to the server recently. */
	cachedTokens(id: string, nowMs: number): number {
		const part = this.#parts.get(id);
		return part && nowMs - part.usedAtMs <= CACHE_LIFETIME_MS ? part.tokens : 0;
	}

	/** Returns the time since the part was last sent to the server; `Infinity` when that is unknown. */
	ageMs(id: string, nowMs: number): number {
		return nowMs - (this.#parts.get(id)?.usedAtMs ?? Number.NEGATIVE_INFINITY);
	}

	record({id, tokens}: PromptPart, nowMs: number): void {
		const cachedTokens = Math.max(tokens, this.cachedTokens(id, nowMs));
		this.#parts.delete(id);
		this.#parts.set(id, {tokens: cachedTokens, usedAtMs: nowMs});
		if (this.#parts.size > MAX_PARTS) {
			const [oldest] = this.#parts.keys();
			this.#parts.delete(oldest!);
		}
	}
}
