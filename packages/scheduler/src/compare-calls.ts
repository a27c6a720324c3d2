import type {PolicySettings, PolicyTuning, QueuedCall} from './types.ts';

/** Current time and settings for comparing calls. */
export type OrderContext = {
	nowMs: number;
	settings: PolicySettings;
	tuning: PolicyTuning;
};

const compareText = (left: string, right: string): number =>
	left < right ? -1 : left > right ? 1 : 0;

const isStarved = (call: QueuedCall, nowMs: number, tuning: PolicyTuning) =>
	nowMs - call.queuedAtMs >= tuning.starvationMs;

/**
 * Ordering key of a call: the start time of its program plus the weighted time to recompute its uncached
 * prompt. The smallest key goes first.
 */
const computeOrderKeyMs = (
	call: QueuedCall,
	settings: PolicySettings,
	tuning: PolicyTuning,
): number => {
	const startedAtMs = call.programStartedAtMs ?? call.queuedAtMs;
	const recomputeMs =
		Math.max(0, call.promptTokens - call.cachedTokens) *
		tuning.prefillMsPerToken;
	return startedAtMs + settings.cacheWeight * recomputeMs;
};

/**
 * Compares two waiting calls of one engine; the result is negative when `left` goes first.
 *
 * The order is total: starved calls come first, in queueing order; the others are ordered by selector
 * priority and then by `computeOrderKeyMs`. Ties are broken by queueing time and ids.
 *
 * @example
 * ```ts
 * calls.toSorted((left, right) => compareCalls(left, right, {nowMs, settings, tuning}));
 * ```
 */
export const compareCalls = (
	left: QueuedCall,
	right: QueuedCall,
	{nowMs, settings, tuning}: OrderContext,
): number => {
	const leftStarved = isStarved(left, nowMs, tuning);
	const rightStarved = isStarved(right, nowMs, tuning);
	if (leftStarved !== rightStarved) {
		return leftStarved ? -1 : 1;
	}

	const keyDifference = leftStarved
		? 0
		: right.priority - left.priority ||
			computeOrderKeyMs(left, settings, tuning) -
				computeOrderKeyMs(right, settings, tuning);
	return (
		keyDifference ||
		left.queuedAtMs - right.queuedAtMs ||
		compareText(left.programId, right.programId) ||
		compareText(left.requestId, right.requestId)
	);
};
