import {Clock} from './clock.ts';

type ScheduledCallback = {atMs: number; sequence: number; callback: () => void};

const isEarlier = (a: ScheduledCallback, b: ScheduledCallback) =>
	a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);

/**
 * Virtual clock that advances only from one scheduled event to the next, so that a run depends only
 * on its seed.
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
	#sequence = 0;
	/** Binary min-heap ordered by time, then by scheduling order. */
	readonly #heap: ScheduledCallback[] = [];

	override nowMs() {
		return this.#nowMs;
	}

	override startTimer(delayMs: number, callback: () => void) {
		return this.schedule(delayMs, callback);
	}

	override defer(callback: () => void) {
		this.schedule(0, callback);
	}

	/** Calls the callback after the delay. The returned function cancels it. */
	schedule(delayMs: number, callback: () => void): () => void {
		this.#sequence += 1;
		const entry = {
			atMs: this.#nowMs + Math.max(0, delayMs),
			sequence: this.#sequence,
			callback,
		};
		this.#push(entry);
		return () => {
			entry.callback = () => undefined;
		};
	}

	async sleep(delayMs: number): Promise<void> {
		return new Promise((resolve) => {
			this.schedule(delayMs, resolve);
		});
	}

	/** Runs all events up to the given time. Pending promise callbacks run after each event. */
	async runUntil(untilMs: number): Promise<void> {
		for (;;) {
			const next = this.#heap[0];
			if (!next || next.atMs > untilMs) {
				this.#nowMs = untilMs;
				return;
			}

			this.#pop();
			this.#nowMs = next.atMs;
			next.callback();
			// Promises that need no further event are settled before the next macrotask.
			await new Promise((resolve) => {
				setImmediate(resolve);
			});
		}
	}

	#push(entry: ScheduledCallback) {
		const heap = this.#heap;
		let position = heap.length;
		heap.push(entry);
		while (position > 0) {
			const parent = Math.floor((position - 1) / 2);
			if (!isEarlier(entry, heap[parent]!)) {
				break;
			}

			heap[position] = heap[parent]!;
			position = parent;
		}

		heap[position] = entry;
	}

	#pop() {
		const heap = this.#heap;
		const last = heap.pop()!;
		if (heap.length === 0) {
			return;
		}

		let position = 0;
		for (;;) {
			let child = 2 * position + 1;
			if (child >= heap.length) {
				break;
			}

			if (
				child + 1 < heap.length &&
				isEarlier(heap[child + 1]!, heap[child]!)
			) {
				child += 1;
			}

			if (!isEarlier(heap[child]!, last)) {
				break;
			}

			heap[position] = heap[child]!;
			position = child;
		}

		heap[position] = last;
	}
}
