import {compareCalls} from './compare-calls.ts';
import {readTuning} from './policy-tuning.ts';
import type {PolicySettings, PolicyTuning, QueuedCall} from './types.ts';

/**
 * Minimum service among the callers of the waiting calls.
 *
 * @param priority - counts only the calls with this priority.
 */
const findLeastServiceMs = (
	queue: readonly QueuedCall[],
	priority?: number,
): number => {
	let least = Number.POSITIVE_INFINITY;
	for (const call of queue) {
		if (priority === undefined || call.priority === priority) {
			least = Math.min(least, call.callerServiceMs ?? 0);
		}
	}

	return least;
};

const findHighestPriority = (queue: readonly QueuedCall[]): number => {
	let highest = Number.NEGATIVE_INFINITY;
	for (const {priority} of queue) {
		highest = Math.max(highest, priority);
	}

	return highest;
};

/**
 * Whether a call may be served now. A caller that has received much more service than another waiting
 * caller must wait until the difference has shrunk, unless the call is starved.
 */
const isWithinFairShare = (
	call: QueuedCall,
	leastServiceMs: number,
	nowMs: number,
	tuning: PolicyTuning,
): boolean =>
	(call.callerServiceMs ?? 0) - leastServiceMs <= tuning.fairnessSlackMs ||
	nowMs - call.queuedAtMs >= tuning.starvationMs;

/**
 * Returns the call that an engine with a free slot serves next, or undefined when the queue is empty.
 *
 * @example
 * ```ts
 * const call = pickNext(queue, nowMs, settings);
 * ```
 */
export const pickNext = (
	queue: readonly QueuedCall[],
	nowMs: number,
	settings: PolicySettings,
): QueuedCall | undefined => {
	const tuning = readTuning(settings);
	const context = {nowMs, settings, tuning};
	// With an order of programs, a call of lower priority must not hold back those of a higher one.
	const highestPriority = settings.programOrder
		? findHighestPriority(queue)
		: undefined;
	const leastServiceMs = findLeastServiceMs(queue, highestPriority);
	let best: QueuedCall | undefined;
	for (const call of queue) {
		if (
			isWithinFairShare(call, leastServiceMs, nowMs, tuning) &&
			(best === undefined || compareCalls(call, best, context) < 0)
		) {
			best = call;
		}
	}

	return best;
};

/**
 * Returns the waiting calls in the order of `compareCalls`, ignoring fairness between callers.
 *
 * @example
 * ```ts
 * const [first] = orderQueue(queue, nowMs, settings);
 * ```
 */
export const orderQueue = (
	queue: readonly QueuedCall[],
	nowMs: number,
	settings: PolicySettings,
): QueuedCall[] => {
	const tuning = readTuning(settings);
	const context = {nowMs, settings, tuning};
	return queue.toSorted((left, right) => compareCalls(left, right, context));
};
