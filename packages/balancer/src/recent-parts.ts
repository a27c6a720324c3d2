/** Parts remembered for a server; the oldest ones are dropped first, as engines do. */
const MAX_PARTS = 512;

/**
 * Parts of prompts that were sent to a server lately, in the order of their last use.
 *
 * @example
 * ```ts
 * const parts = new RecentParts();
 * parts.note(['5c1e', '91bd']);
 * parts.has('5c1e'); // true
 * ```
 */
export class RecentParts {
	readonly #ids = new Set<string>();

	has(id: string): boolean {
		return this.#ids.has(id);
	}

	note(ids: readonly string[]): void {
		for (const id of ids) {
			this.#ids.delete(id);
			this.#ids.add(id);
		}

		while (this.#ids.size > MAX_PARTS) {
			const [oldest] = this.#ids;
			this.#ids.delete(oldest!);
		}
	}
}
