/*
 * Notices that a daemon was suspended or that its time of day was stepped.
 *
 * The load that it answers: VMs are suspended for seconds, during which a monotonic clock does not count, and
 * times of day are stepped in either direction.
 */

/** Times of the two clocks of a daemon, read at about the same moment. */
export type ClockReading = {
	/** Counts while the process is stopped, but not while the VM is suspended. */
	monotonicMs: number;
	/** Time of day: counts during both, but may be stepped. */
	wallMs: number;
};

/** Change of the difference of the clocks above which it is no inaccuracy of reading them. */
export const MAX_CLOCK_DIFFERENCE_MS = 100;

/**
 * Compares the time of day with a monotonic clock. The difference is compared with the one at the last jump and
 * not with the last reading, so that many small jumps are noticed, too. What a backward step takes back of a
 * suspension is not noticed: one in the same interval, or one of less than the limit.
 *
 * @example
 * ```ts
 * const watch = new ClockWatch({monotonicMs: performance.now(), wallMs: Date.now()});
 * const jumpMs = watch.observe({monotonicMs: performance.now(), wallMs: Date.now()});
 * ```
 */
export class ClockWatch {
	#differenceMs: number;

	constructor({monotonicMs, wallMs}: ClockReading) {
		this.#differenceMs = wallMs - monotonicMs;
	}

	/** @returns how far the time of day moved against the monotonic clock; `undefined` if it did not jump. */
	observe({monotonicMs, wallMs}: ClockReading): number | undefined {
		const differenceMs = wallMs - monotonicMs;
		const jumpMs = differenceMs - this.#differenceMs;
		if (Math.abs(jumpMs) <= MAX_CLOCK_DIFFERENCE_MS) {
			return undefined;
		}

		this.#differenceMs = differenceMs;
		return jumpMs;
	}
}
