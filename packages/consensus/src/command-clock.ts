/** Clock of one shard: the replicated time, carried on by the monotonic clock of this process. */
export type MonotonicSource = () => number;

/**
 * Gives the time of commands of one shard.
 *
 * The wall clocks of two VMs may differ by any amount, so a change of the owner must not move the time
 * of the shard: the time of the last applied command is the base, and the monotonic clock of this
 * process adds what has passed since it was applied here. Time while no replica runs is not counted.
 *
 * @example
 * ```ts
 * const clock = new CommandClock();
 * clock.noteApplied(state.clockMs);
 * const nowMs = clock.nowMs();
 * ```
 */
export class CommandClock {
	readonly #monotonicMs: MonotonicSource;
	readonly #wallMs: MonotonicSource;
	#base: {clockMs: number; appliedAtMs: number} | undefined;

	constructor(
		monotonicMs: MonotonicSource = () => performance.now(),
		wallMs: MonotonicSource = Date.now,
	) {
		this.#monotonicMs = monotonicMs;
		this.#wallMs = wallMs;
	}

	/** Takes the replicated time after a command was applied. A time before the known one has no effect. */
	noteApplied(clockMs: number): void {
		if (clockMs > 0 && clockMs > this.#estimateMs()) {
			this.#base = {clockMs, appliedAtMs: this.#monotonicMs()};
		}
	}

	/** Time of a command, in whole milliseconds. The first command of a shard takes the wall clock. */
	nowMs(): number {
		return Math.floor(this.#base ? this.#estimateMs() : this.#wallMs());
	}

	#estimateMs(): number {
		return this.#base
			? this.#base.clockMs + this.#monotonicMs() - this.#base.appliedAtMs
			: 0;
	}
}
