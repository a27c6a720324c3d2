import type {ClockReading} from '@marjoramcove/access';

/** Time between the readings of both clocks above which the process was interrupted between them. */
const MAX_READING_MS = 10;

const MAX_READINGS = 3;

/**
 * Reads both clocks of this daemon. They are read again if the process was interrupted in between, because that
 * would look like a jump.
 *
 * @example
 * ```ts
 * const {monotonicMs, wallMs} = readClocks();
 * ```
 */
export const readClocks = (): ClockReading => {
	let startedAtMs = performance.now();
	let wallMs = Date.now();
	let monotonicMs = performance.now();
	for (
		let readings = 1;
		readings < MAX_READINGS && monotonicMs - startedAtMs > MAX_READING_MS;
		readings++
	) {
		startedAtMs = monotonicMs;
		wallMs = Date.now();
		monotonicMs = performance.now();
	}

	return {monotonicMs, wallMs};
};
