/** Sum of duration ratios (measured to expected) and the number of requests that they stand for. */
export type SpeedSum = {sum: number; count: number};

const NO_EVIDENCE: SpeedSum = {sum: 0, count: 0};

type Sample = {ratio: number; weight: number; atMs: number};

/** Time constant with which evidence loses its weight. */
const AGING_MS = 6000;

/** Samples that are kept for a server; more would follow a change more slowly. */
const MAX_SAMPLES = 32;

/**
 * Quantile of the ratios that stands for the speed. The slower half of the requests shows how long they waited
 * behind bursts that no report had announced, rather than how fast the server is.
 */
const QUANTILE = 0.3;

/** Number of last samples that all must differ to show a change of speed, and by which factor. */
const CHANGE_SAMPLES = 4;
const CHANGE_FACTOR = 2;

/** Largest ratio of one request; a larger one says no more. */
const MAX_RATIO = 8;

const findQuantile = (samples: readonly Sample[]): number => {
	const ratios = samples.map(({ratio}) => ratio).sort((a, b) => a - b);
	return ratios[Math.floor(QUANTILE * (ratios.length - 1))] ?? 1;
};

/**
 * Ratios of measured to expected durations of one server. Old evidence ages; a server that slows down or
 * recovers by a factor of two or more is followed after four requests.
 *
 * @example
 * ```ts
 * const evidence = new SpeedEvidence();
 * evidence.record(5, nowMs);
 * evidence.read(nowMs); // {sum: 5, count: 1}
 * ```
 */
export class SpeedEvidence {
	#samples: Sample[] = [];
	#quantile = 1;
	#count = 0;
	#countedAtMs = 0;

	/** @param weight - less than 1 for a sample that resembles others of the same request. */
	record(ratio: number, nowMs: number, weight = 1): void {
		this.#samples.push({
			ratio: Math.min(MAX_RATIO, ratio),
			weight,
			atMs: nowMs,
		});
		if (this.#samples.length > MAX_SAMPLES) {
			this.#samples.shift();
		}

		this.#dropOutdated();
		this.#quantile = findQuantile(this.#samples);
		this.#countSamples(nowMs);
	}

	read(nowMs: number): SpeedSum {
		if (this.#samples.length === 0) {
			return NO_EVIDENCE;
		}

		const count =
			this.#count * Math.exp((this.#countedAtMs - nowMs) / AGING_MS);
		return {sum: this.#quantile * count, count};
	}

	/** Sums the weights once for each sample, because the evidence of all servers is read several times a second. */
	#countSamples(nowMs: number): void {
		this.#count = 0;
		for (const {weight, atMs} of this.#samples) {
			this.#count += weight * Math.exp((atMs - nowMs) / AGING_MS);
		}

		this.#countedAtMs = nowMs;
	}

	/** Drops the evidence of before a change of speed. */
	#dropOutdated(): void {
		const last = this.#samples.slice(-CHANGE_SAMPLES);
		const isSlower = last.every(
			({ratio}) => ratio > this.#quantile * CHANGE_FACTOR,
		);
		const isFaster = last.every(
			({ratio}) => ratio < this.#quantile / CHANGE_FACTOR,
		);
		if (last.length === CHANGE_SAMPLES && (isSlower || isFaster)) {
			this.#samples = last;
		}
	}
}
