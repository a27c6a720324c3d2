type Entry = {tokens: number; idleSinceMs: number};

/** Called when cached tokens of a chain are evicted; `tokens` is the number that remains cached. */
export type EvictionListener = (chainKey: string, tokens: number) => void;

/** Prefix cache of one engine: idle prefixes, evicted in LRU order, share its memory with the running calls. */
export class PrefixCache {
	/** Tokens held by running calls and idle prefixes. */
	usedTokens = 0;
	/** Token-milliseconds of idle prefixes that were evicted without being reused. */
	unusedTokenMs = 0;
	readonly #capacityTokens: number;
	readonly #hostCapacityTokens: number;
	readonly #onEvict: EvictionListener;
	readonly #idle = new Map<string, Entry>();
	readonly #host = new Map<string, number>();
	#hostTokens = 0;

	constructor(
		capacityTokens: number,
		hostCapacityTokens: number,
		onEvict: EvictionListener,
	) {
		this.#capacityTokens = capacityTokens;
		this.#hostCapacityTokens = hostCapacityTokens;
		this.#onEvict = onEvict;
	}

	get capacityTokens(): number {
		return this.#capacityTokens;
	}

	get hostFreeTokens(): number {
		return this.#hostCapacityTokens - this.#hostTokens;
	}

	/** Keys of idle prefixes, least recently used first. */
	idleKeys(): IterableIterator<string> {
		return this.#idle.keys();
	}

	idleTokens(chainKey: string): number {
		return this.#idle.get(chainKey)?.tokens ?? 0;
	}

	/**
	 * Reserves memory for a call of `totalTokens` whose first `historyTokens` may be cached. Returns the
	 * cached and imported tokens, or undefined when the memory does not suffice even after evictions.
	 */
	reserve(
		chainKey: string,
		{historyTokens, totalTokens}: {historyTokens: number; totalTokens: number},
		nowMs: number,
	): {hitTokens: number; importedTokens: number} | undefined {
		const entry = this.#idle.get(chainKey);
		const hitTokens = Math.min(entry?.tokens ?? 0, historyTokens);
		const neededTokens = totalTokens - (entry?.tokens ?? 0);
		if (!this.#evict(neededTokens, chainKey, nowMs)) {
			return undefined;
		}

		this.#idle.delete(chainKey);
		this.usedTokens += neededTokens;
		const hostTokens = this.#removeFromHost(chainKey);
		return {
			hitTokens,
			importedTokens: Math.max(
				0,
				Math.min(hostTokens, historyTokens) - hitTokens,
			),
		};
	}

	/** Keeps the tokens of a finished call as an idle prefix. */
	release(chainKey: string, tokens: number, nowMs: number): void {
		this.#idle.delete(chainKey);
		this.#idle.set(chainKey, {tokens, idleSinceMs: nowMs});
	}

	/** Frees the memory of a cancelled call. */
	free(tokens: number): void {
		this.usedTokens -= tokens;
	}

	/** Drops the prefix of a chain from engine and host memory. */
	drop(chainKey: string, nowMs: number): void {
		const entry = this.#idle.get(chainKey);
		if (entry) {
			this.#shrink(chainKey, entry, entry.tokens, nowMs);
		}

		this.#removeFromHost(chainKey);
	}

	/** Moves the prefix of a chain to host memory. */
	export(chainKey: string): void {
		const entry = this.#idle.get(chainKey);
		if (!entry || entry.tokens > this.hostFreeTokens) {
			return;
		}

		this.#idle.delete(chainKey);
		this.usedTokens -= entry.tokens;
		this.#host.set(chainKey, entry.tokens);
		this.#hostTokens += entry.tokens;
	}

	/** Drops all prefixes, as a restart of the engine does. */
	clear(nowMs: number): void {
		for (const key of this.#idle.keys()) {
			this.drop(key, nowMs);
		}

		this.#host.clear();
		this.#hostTokens = 0;
	}

	#removeFromHost(chainKey: string): number {
		const tokens = this.#host.get(chainKey) ?? 0;
		this.#host.delete(chainKey);
		this.#hostTokens -= tokens;
		return tokens;
	}

	/** Evicts the tails of the least recently used prefixes until `neededTokens` are free. */
	#evict(neededTokens: number, excludedKey: string, nowMs: number): boolean {
		let missingTokens = this.usedTokens + neededTokens - this.#capacityTokens;
		for (const [key, entry] of this.#idle) {
			if (missingTokens <= 0) {
				break;
			}

			if (key !== excludedKey) {
				const tokens = Math.min(entry.tokens, missingTokens);
				missingTokens -= tokens;
				this.#shrink(key, entry, tokens, nowMs);
				this.#onEvict(key, entry.tokens);
			}
		}

		return missingTokens <= 0;
	}

	#shrink(key: string, entry: Entry, tokens: number, nowMs: number): void {
		this.unusedTokenMs += tokens * (nowMs - entry.idleSinceMs);
		this.usedTokens -= tokens;
		entry.tokens -= tokens;
		if (entry.tokens === 0) {
			this.#idle.delete(key);
		}
	}
}
