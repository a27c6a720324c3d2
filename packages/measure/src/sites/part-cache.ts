type Node = {
	tokens: number;
	parent: Node | undefined;
	/** Running requests whose prompt contains it. */
	users: number;
	children: number;
	key: string;
};

/** Memory that a request took. */
export type TakenMemory = {
	promptTokens: number;
	/** Tokens of the prompt that were not kept. */
	missingTokens: number;
	/** The request has ended; what it read and generated may be evicted from now on. */
	release: () => void;
};

/**
 * Memory of an engine for the parts of prompts. A part counts as kept only below the same parts before
 * it; the least recently used ones are evicted first.
 */
export class PartCache {
	usedTokens = 0;
	readonly #capacityTokens: number;
	/** In the order of their last use; a part is used later than those that follow it in a prompt. */
	readonly #nodes = new Map<string, Node>();

	constructor(capacityTokens: number) {
		this.#capacityTokens = capacityTokens;
	}

	/**
	 * Takes memory for a prompt and its answer.
	 *
	 * @returns `undefined` while running requests use the memory.
	 */
	take(
		parts: ReadonlyArray<{id: string; tokens: number}>,
		outputTokens: number,
	): TakenMemory | undefined {
		const keys: string[] = [];
		let key = '';
		for (const {id} of parts) {
			key += `/${id}`;
			keys.push(key);
		}

		const promptTokens = parts.reduce((sum, {tokens}) => sum + tokens, 0);
		const missingTokens = promptTokens - this.#countKept(parts, keys);
		const path = this.#pin(parts, keys);
		if (!this.#makeRoom(missingTokens + outputTokens)) {
			this.#unpin(path);
			return undefined;
		}

		for (const [index, node] of path.entries()) {
			const grownTokens = Math.max(0, parts[index]!.tokens - node.tokens);
			node.tokens += grownTokens;
			this.usedTokens += grownTokens;
		}

		const last = path.at(-1)!;
		last.tokens += outputTokens;
		this.usedTokens += outputTokens;
		return {
			promptTokens,
			missingTokens,
			release: () => {
				this.#unpin(path);
			},
		};
	}

	#countKept(
		parts: ReadonlyArray<{id: string; tokens: number}>,
		keys: readonly string[],
	): number {
		let keptTokens = 0;
		for (const [index, {tokens}] of parts.entries()) {
			const node = this.#nodes.get(keys[index]!);
			keptTokens += Math.min(node?.tokens ?? 0, tokens);
			if (!node || node.tokens < tokens) {
				break;
			}
		}

		return keptTokens;
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

	#makeRoom(neededTokens: number): boolean {
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
