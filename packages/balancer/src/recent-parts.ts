/** Parts remembered for a server; the oldest ones are dropped first, as engines do. */
const MAX_PARTS = 512;

/**
 * Time after which an engine may have evicted a part that nobody used. On the grown sites of
 * docs/measurements.md an engine reads what fills its memory in about 5 s.
 */
const KEPT_MS = 4000;

/** A part of a prompt. The part of a session keeps its id and grows with each turn. */
export type PromptPart = {id: string; tokens: number};

/**
 * Parts of prompts that were sent to a server lately, in the order of their last use, with the tokens
 * that the server has read of them.
 *
 * @example
 * ```ts
 * const parts = new RecentParts();
 * parts.note({id: '5c1e', tokens: 800}, nowMs);
 * parts.keptTokens('5c1e', nowMs); // 800
 * ```
 */
export class RecentParts {
	readonly #parts = new Map<string, {tokens: number; usedAtMs: number}>();

	/** Tokens of a part that the server keeps; 0 when it was not sent there lately. */
	keptTokens(id: string, nowMs: number): number {
		const part = this.#parts.get(id);
		return part && nowMs - part.usedAtMs <= KEPT_MS ? part.tokens : 0;
	}

	/** Time since the part was last sent to the server, as far as it is known. */
	ageMs(id: string, nowMs: number): number {
		return nowMs - (this.#parts.get(id)?.usedAtMs ?? Number.NEGATIVE_INFINITY);
	}

	note({id, tokens}: PromptPart, nowMs: number): void {
		const keptTokens = Math.max(tokens, this.keptTokens(id, nowMs));
		this.#parts.delete(id);
		this.#parts.set(id, {tokens: keptTokens, usedAtMs: nowMs});
		if (this.#parts.size > MAX_PARTS) {
			const [oldest] = this.#parts.keys();
			this.#parts.delete(oldest!);
		}
	}
}
