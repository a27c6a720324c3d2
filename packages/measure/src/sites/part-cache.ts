type Node = {
	tokens: number;
	parent: Node | undefined;
	/** Number of running requests whose prompt contains the part. */
	users: number;
	children: number;
	key: string;
};

/** Memory reserved for a request. */
export type CacheReservation = {
	promptTokens: number;
	/** Prompt tokens that were not cached. */
	uncachedTokens: number;
	/** Ends the reservation; the tokens of the request stay cached until they are evicted. */
	release: () => void;
};

/**
 * Prefix cache of an engine, as a tree of prompt parts. A part is cached only in combination with the
 * parts before it. The least recently used parts are evicted first.
 */
export class PartCache {
	usedTokens = 0;
	readonly #capacityTokens: number;
	/** In order of last use. A part counts as used after the parts that follow it, so that these are evicted first. */
	readonly #nodes = new Map<string, Node>();

	constructor(capacityTokens: number) {
		this.#capacityTokens = capacityTokens;
	}

	/**
	 * Reserves memory for a prompt and its output.
	 *
	 * @returns `undefined` when the memory that running requests use leaves too little free.
	 */
	reserve(
		parts: ReadonlyArray<{id: string; tokens: number}>,
		outputTokens: number,
	): CacheReservation | undefined {
		const keys: string[] = [];
		let key = '';
		for (const {id} of parts) {
			key += `/${id}`;
			keys.push(key);
		}

		const promptTokens = parts.reduce((sum, {tokens}) => sum + tokens, 0);
		const uncachedTokens = promptTokens - this.#countCachedTokens(parts, keys);
		const path = this.#pin(parts, keys);
		if (!this.#evict(uncachedTokens + outputTokens)) {
			this.#unpin(path);
			return undefined;
		}

		for (const [index, node] of path.entries()) {
			const addedTokens = Math.max(0, parts[index]!.tokens - node.tokens);
			node.tokens += addedTokens;
			this.usedTokens += addedTokens;
		}

		const last = path.at(-1)!;
		last.tokens += outputTokens;
		this.usedTokens += outputTokens;
		return {
			promptTokens,
			uncachedTokens,
			release: () => {
				this.#unpin(path);
			},
		};
	}

	#countCachedTokens(
		parts: ReadonlyArray<{id: string; tokens: number}>,
		keys: readonly string[],
	): number {
		let cachedTokens = 0;
		for (const [index, {tokens}] of parts.entries()) {
			const node = this.#nodes.get(keys[index]!);
			cachedTokens += Math.min(node?.tokens ?? 0, tokens);
			if (!node || node.tokens < tokens) {
				break;
			}
		}

		return cachedTokens;
	}

	#pin(
		parts: ReadonlyArray<{id: string; tokens: number}>,
		keys: readonly string[],
	): Node[] {
		const path: Node[] = [];
		for (const [index] of parts.entries()) {
			const key = keys[index]!;
			const parent = path.at(-1);
			let node = this.#nodes.get(key);
			if (!node) {
				node = {tokens: 0, parent, users: 0, children: 0, key};
				if (parent) {
					parent.children++;
				}
			}

			node.users++;
			path.push(node);
		}

		for (const node of path.toReversed()) {
			this.#nodes.delete(node.key);
			this.#nodes.set(node.key, node);
		}

		return path;
	}

	#unpin(path: readonly Node[]): void {
		for (const node of path) {
			node.users--;
		}
	}

	#evict(neededTokens: number): boolean {
		let excessTokens = this.usedTokens + neededTokens - this.#capacityTokens;
		for (const node of this.#nodes.values()) {
			if (excessTokens <= 0) {
				break;
			}

			if (node.users === 0 && node.children === 0) {
				excessTokens -= node.tokens;
				this.usedTokens -= node.tokens;
				this.#nodes.delete(node.key);
				if (node.parent) {
					node.parent.children--;
				}
			}
		}

		return excessTokens <= 0;
	}
}
