/*
 * Divides the memory for request bodies among callers.
 *
 * The load that it answers: many bodies of legal size at once, most of them sent slowly or stopped short of their
 * end, beside the ordinary requests of other callers.
 */

/** Size up to which a body is ordinary; the reserve is kept for such bodies. */
export const ORDINARY_BODY_BYTES = 64 * 1024;

/** Share of the memory that only bodies of ordinary size may use. */
const ORDINARY_RESERVE_SHARE = 0.125;

/** Time without a byte after which an incomplete body may be dropped in favour of another one. */
export const STALLED_BODY_MS = 1000;

/** Factor by which a caller must hold more than another one before its incomplete bodies are dropped. */
const LARGER_HOLDER_FACTOR = 2;

/** Memory of one request body. */
export type BodyAllocation = {
	/** Groups the bodies of one caller, for example by its address. */
	readonly holder: string;
	/** Called when the memory is taken away; the request must then be refused. */
	readonly onDropped: () => void;
	sizeBytes: number;
	isComplete: boolean;
	/** Time of the last byte on the monotonic clock. */
	lastByteAtMs: number;
};

const sumIncomplete = (
	allocations: Iterable<BodyAllocation>,
): Map<string, number> => {
	const sums = new Map<string, number>();
	for (const {holder, sizeBytes, isComplete} of allocations) {
		if (!isComplete) {
			sums.set(holder, (sums.get(holder) ?? 0) + sizeBytes);
		}
	}

	return sums;
};

const findLargest = (
	allocations: Iterable<BodyAllocation>,
	isCandidate: (allocation: BodyAllocation) => boolean,
): BodyAllocation | undefined => {
	let largest: BodyAllocation | undefined;
	for (const allocation of allocations) {
		if (
			isCandidate(allocation) &&
			allocation.sizeBytes > (largest?.sizeBytes ?? 0)
		) {
			largest = allocation;
		}
	}

	return largest;
};

/**
 * Chooses the body that gives way to another one: the largest that is incomplete and stalled, or else the largest
 * incomplete one of the caller that holds most, if that is much more than the requesting caller holds. Complete
 * bodies are never dropped.
 *
 * @example
 * ```ts
 * const victim = chooseDroppedBody(allocations, requester, performance.now());
 * ```
 */
export const chooseDroppedBody = (
	allocations: Iterable<BodyAllocation>,
	requester: BodyAllocation,
	nowMs: number,
): BodyAllocation | undefined => {
	const others = [...allocations].filter(
		(allocation) => allocation !== requester && !allocation.isComplete,
	);
	const stalled = findLargest(
		others,
		({lastByteAtMs}) => nowMs - lastByteAtMs >= STALLED_BODY_MS,
	);
	if (stalled) {
		return stalled;
	}

	const sums = sumIncomplete(others);
	const ownBytes = (sums.get(requester.holder) ?? 0) + requester.sizeBytes;
	const [largestHolder] = [...sums].toSorted(([, a], [, b]) => b - a);
	if (
		!largestHolder ||
		largestHolder[0] === requester.holder ||
		largestHolder[1] <= ownBytes * LARGER_HOLDER_FACTOR
	) {
		return undefined;
	}

	return findLargest(others, ({holder}) => holder === largestHolder[0]);
};

/**
 * Memory that the request bodies of a daemon share.
 *
 * @example
 * ```ts
 * const memory = new BodyMemory(50_000_000);
 * const allocation = memory.open({holder: '10.0.0.1', onDropped() {}}, performance.now());
 * memory.tryGrow(allocation, 1000, performance.now()); // true
 * memory.release(allocation);
 * ```
 */
export class BodyMemory {
	readonly #limitBytes: number;
	readonly #allocations = new Set<BodyAllocation>();
	#usedBytes = 0;

	constructor(limitBytes: number) {
		this.#limitBytes = limitBytes;
	}

	get usedBytes(): number {
		return this.#usedBytes;
	}

	get limitBytes(): number {
		return this.#limitBytes;
	}

	open(
		options: Pick<BodyAllocation, 'holder' | 'onDropped'>,
		nowMs: number,
	): BodyAllocation {
		const allocation: BodyAllocation = {
			...options,
			sizeBytes: 0,
			isComplete: false,
			lastByteAtMs: nowMs,
		};
		this.#allocations.add(allocation);
		return allocation;
	}

	/**
	 * Adds bytes to a body, and drops bodies that have to give way to it.
	 *
	 * @returns `false` if there is no memory for them; the request must then be refused.
	 */
	tryGrow(allocation: BodyAllocation, bytes: number, nowMs: number): boolean {
		if (!this.#allocations.has(allocation)) {
			return false;
		}

		const isOrdinary = allocation.sizeBytes + bytes <= ORDINARY_BODY_BYTES;
		const limitBytes =
			this.#limitBytes * (isOrdinary ? 1 : 1 - ORDINARY_RESERVE_SHARE);
		while (this.#usedBytes + bytes > limitBytes) {
			const dropped = chooseDroppedBody(this.#allocations, allocation, nowMs);
			if (!dropped) {
				return false;
			}

			this.release(dropped);
			dropped.onDropped();
		}

		allocation.sizeBytes += bytes;
		allocation.lastByteAtMs = nowMs;
		this.#usedBytes += bytes;
		return true;
	}

	/** Frees the memory of a body; repeated calls have no effect. */
	release(allocation: BodyAllocation): void {
		if (this.#allocations.delete(allocation)) {
			this.#usedBytes -= allocation.sizeBytes;
		}
	}
}
