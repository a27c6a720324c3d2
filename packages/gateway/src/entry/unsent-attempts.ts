/**
 * The attempts that wait for a connection to their server, by the key of the server's instance. They can be
 * withdrawn, so that they are placed anew.
 *
 * @example
 * ```ts
 * const unsent = new UnsentAttempts();
 * const remove = unsent.add(load.key, () => placeAnew());
 * unsent.withdraw(load.key);
 * ```
 */
export class UnsentAttempts {
	readonly #withdrawals = new Map<string, Set<() => void>>();

	/** @returns a function that removes the attempt once it is sent or has ended. */
	add(key: string, withdraw: () => void): () => void {
		const attempts = this.#withdrawals.get(key) ?? new Set();
		this.#withdrawals.set(key, attempts.add(withdraw));
		return () => {
			attempts.delete(withdraw);
			if (attempts.size === 0 && this.#withdrawals.get(key) === attempts) {
				this.#withdrawals.delete(key);
			}
		};
	}

	/** Keys of the servers that attempts wait for. */
	get keys(): string[] {
		return [...this.#withdrawals.keys()];
	}

	/** Withdraws all attempts that wait for a server. */
	withdraw(key: string): void {
		for (const withdraw of this.#withdrawals.get(key) ?? []) {
			withdraw();
		}
	}
}
