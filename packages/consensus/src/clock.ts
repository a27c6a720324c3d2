/** Source of time of a {@link ReplicaHost}; replaced by a virtual one in tests. */
export abstract class Clock {
	/** Monotonic time in milliseconds. */
	abstract nowMs(): number;
	/** Calls the function once after the delay; the result cancels it. */
	abstract startTimer(delayMs: number, call: () => void): () => void;
	/** Calls the function after the events that are already waiting. */
	abstract defer(call: () => void): void;
}

/**
 * The monotonic clock of the process.
 *
 * @example
 * ```ts
 * const clock = new SystemClock();
 * clock.nowMs();
 * ```
 */
export class SystemClock extends Clock {
	override nowMs() {
		return performance.now();
	}

	override startTimer(delayMs: number, call: () => void) {
		const timer = setTimeout(call, delayMs);
		return () => {
			clearTimeout(timer);
		};
	}

	override defer(call: () => void) {
		setImmediate(call);
	}
}

/** Resolves after the delay. */
export const waitOn = async (clock: Clock, delayMs: number): Promise<void> =>
	new Promise((resolve) => {
		clock.startTimer(delayMs, resolve);
	});
