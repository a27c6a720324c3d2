/** Parts remembered for a server; the oldest ones are dropped first, as engines do. */
const MAX_PARTS = 512;

/** A part of a prompt. The part of a session keeps its id and grows with each turn. */
export type SentPart = {id: string; tokens: number};

/**
 * Parts of prompts that were sent to a server lately, in the order of their last use, with the tokens
 * that the server has read of them.
 *
 * @example
 * ```ts
 * const parts = new RecentParts();
 * parts.note([{id: '5c1e', tokens: 800}]);
 * parts.keptTokens('5c1e'); // 800
 * ```
 */
export class RecentParts {
	readonly #tokensById = new Map<string, number>();

	/** Tokens of a part that the server keeps; 0 when it was not sent there lately. */
	keptTokens(id: string): number {
		return this.#tokensById.get(id) ?? 0;
	}

	note(parts: readonly SentPart[]): void {
		for (const {id, tokens} of parts) {
			const keptTokens = Math.max(tokens, this.keptTokens(id));
			this.#tokensById.delete(id);
			this.#tokensById.set(id, keptTokens);
		}

		while (this.#tokensById.size > MAX_PARTS) {
			const [oldest] = this.#tokensById.keys();
			this.#tokensById.delete(oldest!);
		}
	}
}
