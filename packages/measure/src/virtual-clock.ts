type Timer = {atMs: number; sequence: number; run: () => void};

const isBefore = (left: Timer, right: Timer) =>
	left.atMs === right.atMs
		? left.sequence < right.sequence
		: left.atMs < right.atMs;

/** Virtual time: runs timers in the order of their time, equal times in the order of their creation. */
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
		let position = heap.push(timer) - 1;
		while (position > 0) {
			const parent = Math.floor((position - 1) / 2);
			if (!isBefore(timer, heap[parent]!)) {
				break;
			}

			heap[position] = heap[parent]!;
			position = parent;
		}

		heap[position] = timer;
	}

	/** Runs timers until none is left or `isDone` holds. */
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
		let position = 0;
		for (;;) {
			let child = 2 * position + 1;
			if (child >= heap.length) {
				break;
			}

			if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
				child++;
			}

			if (!isBefore(heap[child]!, last)) {
				break;
			}

			heap[position] = heap[child]!;
			position = child;
		}

		if (heap.length > 0) {
			heap[position] = last;
		}

		return first;
	}
}
