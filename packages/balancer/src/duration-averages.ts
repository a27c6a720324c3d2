/** Minimum weight of a new sample; the first samples are averaged with equal weights. */
const SAMPLE_WEIGHT = 0.05;

/** Maximum number of keys; a routing document has a few hundred routes. */
const MAX_KEYS = 1000;

/**
 * Exponential moving averages of durations, by key.
 *
 * @example
 * ```ts
 * const averages = new DurationAverages();
 * averages.record('route-1', 40);
 * averages.get('route-1'); // 40
 * ```
 */
export class DurationAverages {
	readonly #entries = new Map<string, {meanMs: number; samples: number}>();

	record(key: string, durationMs: number): void {
		const entry = this.#entries.get(key) ?? {meanMs: 0, samples: 0};
		entry.samples++;
		const weight = Math.max(SAMPLE_WEIGHT, 1 / entry.samples);
		entry.meanMs += (durationMs - entry.meanMs) * weight;
		if (entry.samples === 1) {
			this.#evictOldest();
			this.#entries.set(key, entry);
		}
	}

	/** @returns `undefined` before the first sample. */
	get(key: string): number | undefined {
		return this.#entries.get(key)?.meanMs;
	}

	#evictOldest(): void {
		if (this.#entries.size >= MAX_KEYS) {
			const [oldest] = this.#entries.keys();
			this.#entries.delete(oldest!);
		}
	}
}
