/** Weight of a new sample once there are enough of them. */
const SAMPLE_WEIGHT = 0.05;

/** Keys that are kept; a routing document has some hundred routes. */
const MAX_KEYS = 1000;

/**
 * Moving averages of durations by key.
 *
 * @example
 * ```ts
 * const times = new TypicalTimes();
 * times.note('route-1', 40);
 * times.of('route-1'); // 40
 * ```
 */
export class TypicalTimes {
	readonly #entries = new Map<string, {meanMs: number; samples: number}>();

	note(key: string, durationMs: number): void {
		const entry = this.#entries.get(key) ?? {meanMs: 0, samples: 0};
		entry.samples++;
		const weight = Math.max(SAMPLE_WEIGHT, 1 / entry.samples);
		entry.meanMs += (durationMs - entry.meanMs) * weight;
		if (entry.samples === 1) {
			this.#makeRoom();
			this.#entries.set(key, entry);
		}
	}

	/** @returns `undefined` before the first sample. */
	of(key: string): number | undefined {
		return this.#entries.get(key)?.meanMs;
	}

	#makeRoom(): void {
		if (this.#entries.size >= MAX_KEYS) {
			const [oldest] = this.#entries.keys();
			this.#entries.delete(oldest!);
		}
	}
}
