/** Returns a time in milliseconds. */
export type TimeSource = () => number;

/**
 * Clock that timestamps the commands of one shard.
 *
 * The wall clocks of two VMs may differ by any amount, so the time of a shard must not jump when its
 * owner changes. The clock starts from the timestamp of the last applied command and adds the time
 * that the local monotonic clock measured since that command was applied. Time during which no
 * replica runs is not counted.
 *
 * @example
 * ```ts
 * const clock = new CommandClock();
 * clock.advanceTo(state.clockMs);
 * const nowMs = clock.nowMs();
 * ```
 */
export class CommandClock {
	readonly #monotonicMs: TimeSource;
	readonly #wallMs: TimeSource;
	#base: {clockMs: number; appliedAtMs: number} | undefined;

	constructor(
		monotonicMs: TimeSource = () => performance.now(),
		wallMs: TimeSource = Date.now,
	) {
		this.#monotonicMs = monotonicMs;
		this.#wallMs = wallMs;
	}

	/** Sets the replicated time after a command was applied. A time before the current one has no effect. */
	advanceTo(clockMs: number): void {
		if (clockMs > 0 && clockMs > this.#estimateMs()) {
			this.#base = {clockMs, appliedAtMs: this.#monotonicMs()};
		}
	}

	/** Timestamp for a command, in whole milliseconds. The first command of a shard uses the wall clock. */
	nowMs(): number {
		return Math.floor(this.#base ? this.#estimateMs() : this.#wallMs());
	}

	#estimateMs(): number {
		return this.#base
			? this.#base.clockMs + this.#monotonicMs() - this.#base.appliedAtMs
			: 0;
	}
}
