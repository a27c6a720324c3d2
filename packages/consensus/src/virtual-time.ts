import {Clock} from './clock.ts';

type TimedCall = {atMs: number; order: number; call: () => void};

const isEarlier = (a: TimedCall, b: TimedCall) =>
	a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);

/**
 * Time that passes only when the next event is run, so that a run depends on its seed alone.
 *
 * @example
 * ```ts
 * const time = new VirtualTime();
 * time.schedule(100, () => { tick(); });
 * await time.runUntil(1000);
 * ```
 */
export class VirtualTime extends Clock {
	#nowMs = 0;
	#order = 0;
	/** A binary heap, earliest call first. */
	readonly #calls: TimedCall[] = [];

	override nowMs() {
		return this.#nowMs;
	}

	override startTimer(delayMs: number, call: () => void) {
		return this.schedule(delayMs, call);
	}

	override defer(call: () => void) {
		this.schedule(0, call);
	}

	/** Calls the function after the delay; the result cancels it. */
	schedule(delayMs: number, call: () => void): () => void {
		this.#order += 1;
		const timed = {
			atMs: this.#nowMs + Math.max(0, delayMs),
			order: this.#order,
			call,
		};
		this.#push(timed);
		return () => {
			timed.call = () => undefined;
		};
	}

	async sleep(delayMs: number): Promise<void> {
		return new Promise((resolve) => {
			this.schedule(delayMs, resolve);
		});
	}

	/** Runs all events up to the time, and between them everything that waits for promises. */
	async runUntil(untilMs: number): Promise<void> {
		for (;;) {
			const next = this.#calls[0];
			if (!next || next.atMs > untilMs) {
				this.#nowMs = untilMs;
				return;
			}

			this.#pop();
			this.#nowMs = next.atMs;
			next.call();
			// All promises that need no further event are settled before the next macrotask.
			await new Promise((resolve) => {
				setImmediate(resolve);
			});
		}
	}

	#push(timed: TimedCall) {
		const calls = this.#calls;
		let position = calls.length;
		calls.push(timed);
		while (position > 0) {
			const parent = Math.floor((position - 1) / 2);
			if (!isEarlier(timed, calls[parent]!)) {
				break;
			}

			calls[position] = calls[parent]!;
			position = parent;
		}

		calls[position] = timed;
	}

	#pop() {
		const calls = this.#calls;
		const last = calls.pop()!;
		if (calls.length === 0) {
			return;
		}

		let position = 0;
		for (;;) {
			let child = 2 * position + 1;
			if (child >= calls.length) {
				break;
			}

			if (
				child + 1 < calls.length &&
				isEarlier(calls[child + 1]!, calls[child]!)
			) {
				child += 1;
			}

			if (!isEarlier(calls[child]!, last)) {
				break;
			}

			calls[position] = calls[child]!;
			position = child;
		}

		calls[position] = last;
	}
}
