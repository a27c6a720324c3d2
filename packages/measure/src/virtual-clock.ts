type Timer = {atMs: number; sequence: number; run: () => void};

const isBefore = (left: Timer, right: Timer) =>
	left.atMs === right.atMs
		? left.sequence < right.sequence
		: left.atMs < right.atMs;

/** Virtual clock that runs timers by time, and timers of equal time in order of creation. */
export class VirtualClock {
	nowMs = 0;
	readonly #heap: Timer[] = [];
	#sequence = 0;

	after(delayMs: number, run: () => void): void {
		const timer = {
			atMs: this.nowMs + Math.max(0, delayMs),
			sequence: this.#sequence++,
			run,
		};
		const heap = this.#heap;
		let index = heap.push(timer) - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(timer, heap[parent]!)) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = timer;
	}

	/** Runs timers until none is left or `isDone` returns true. */
	run(isDone: () => boolean): void {
		while (this.#heap.length > 0 && !isDone()) {
			const timer = this.#removeFirst();
			this.nowMs = timer.atMs;
			timer.run();
		}
	}

	#removeFirst(): Timer {
		const heap = this.#heap;
		const first = heap[0]!;
		const last = heap.pop()!;
		let index = 0;
		for (;;) {
			let child = 2 * index + 1;
			if (child >= heap.length) {
				break;
			}

			if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
				child++;
			}

			if (!isBefore(heap[child]!, last)) {
				break;
			}

			heap[index] = heap[child]!;
			index = child;
		}

		if (heap.length > 0) {
			heap[index] = last;
		}

		return first;
	}
}
