/** Time source of a {@link ReplicaHost}. Tests use a virtual clock instead of the system clock. */
export abstract class Clock {
	/** Monotonic time in milliseconds. */
	abstract nowMs(): number;
	/** Calls the callback once after the delay. The returned function cancels the timer. */
	abstract startTimer(delayMs: number, callback: () => void): () => void;
	/** Calls the callback after the events that are already queued. */
	abstract defer(callback: () => void): void;
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

	override startTimer(delayMs: number, callback: () => void) {
		const timer = setTimeout(callback, delayMs);
		return () => {
			clearTimeout(timer);
		};
	}

	override defer(callback: () => void) {
		setImmediate(callback);
	}
}

/** Resolves after the delay. */
export const sleep = async (clock: Clock, delayMs: number): Promise<void> =>
	new Promise((resolve) => {
		clock.startTimer(delayMs, resolve);
	});
