/** Number of first samples whose geometric mean is the initial estimate. */
const INITIAL_SAMPLES = 8;

/** Relative step by which a sample above or below the estimate moves it. */
const STEP_SHARE = 0.02;

/** Maximum number of keys; a routing document has a few hundred routes. */
const MAX_KEYS = 2000;

/**
 * Estimates medians of durations by key. Unlike an average, the median of a service hardly moves while a
 * minority of its servers is slow.
 *
 * @example
 * ```ts
 * const medians = new MedianDurations();
 * medians.record('route-1', 40);
 * medians.get('route-1'); // 40
 * ```
 */
export class MedianDurations {
	readonly #entries = new Map<string, {logMs: number; samples: number}>();

	record(key: string, durationMs: number): void {
		const logMs = Math.log(Math.max(0.001, durationMs));
		const entry = this.#entries.get(key);
		if (!entry) {
			if (this.#entries.size >= MAX_KEYS) {
				const [oldest] = this.#entries.keys();
				this.#entries.delete(oldest!);
			}

			this.#entries.set(key, {logMs, samples: 1});
			return;
		}

		entry.samples++;
		entry.logMs +=
			entry.samples <= INITIAL_SAMPLES
				? (logMs - entry.logMs) / entry.samples
				: Math.sign(logMs - entry.logMs) * STEP_SHARE;
	}

	/** @returns `undefined` before the first sample. */
	get(key: string): number | undefined {
		const entry = this.#entries.get(key);
		return entry && Math.exp(entry.logMs);
	}
}
