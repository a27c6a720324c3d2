/**
 * Runs actions after a delay and always in the order in which they were added, also when the delay becomes
 * shorter meanwhile.
 *
 * @example
 * ```ts
 * const queue = new DelayedQueue();
 * queue.add(() => socket.write('first'), 100);
 * queue.add(() => socket.write('second'), 0); // runs after the first
 * ```
 */
export class DelayedQueue {
	readonly #pending: Array<{dueMs: number; action: () => void}> = [];

	/** Runs the action at once if it has no delay and nothing is pending. */
	add(action: () => void, delayMs: number): void {
		if (delayMs === 0 && this.#pending.length === 0) {
			action();
			return;
		}

		this.#pending.push({dueMs: performance.now() + delayMs, action});
		if (this.#pending.length === 1) {
			this.#scheduleFirst();
		}
	}

	#scheduleFirst(): void {
		const [first] = this.#pending;
		if (first) {
			setTimeout(
				() => {
					first.action();
					this.#pending.shift();
					this.#scheduleFirst();
				},
				Math.max(0, first.dueMs - performance.now()),
			);
		}
	}
}
