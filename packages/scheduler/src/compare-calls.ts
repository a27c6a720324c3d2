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

/** Whether a program can still end by its deadline if it never waits again. */
const isViable = (
	{deadlineMs = Infinity, remainingNeedMs = 0}: QueuedCall,
	nowMs: number,
): boolean => nowMs + remainingNeedMs <= deadlineMs;

/** Orders calls of one priority by `PolicySettings.programOrder`; calls of programs that will be late come last. */
const compareNeeds = (
	left: QueuedCall,
	right: QueuedCall,
	{nowMs, settings}: OrderContext,
): number => {
	const computeKey = (call: QueuedCall) => {
		const needMs = Math.max(1, call.remainingNeedMs ?? 0);
		return settings.programOrder === 'least-need'
			? needMs
			: ((call.deadlineMs ?? Number.MAX_SAFE_INTEGER) - nowMs) / needMs;
	};

	return (
		Number(isViable(right, nowMs)) - Number(isViable(left, nowMs)) ||
		Number(right.isUnderWay ?? false) - Number(left.isUnderWay ?? false) ||
		computeKey(left) - computeKey(right)
	);
};

/**
 * Compares two waiting calls of one engine; the result is negative when `left` goes first.
 *
 * The order is total: starved calls come first, in queueing order; the others are ordered by selector
 * priority and then by `computeOrderKeyMs`, or by the remaining need if `programOrder` is set. Ties are broken by queueing time and ids.
 *
 * @example
 * ```ts
 * calls.toSorted((left, right) => compareCalls(left, right, {nowMs, settings, tuning}));
 * ```
 */
export const compareCalls = (
	left: QueuedCall,
	right: QueuedCall,
	context: OrderContext,
): number => {
	const {nowMs, settings, tuning} = context;
	const leftStarved = isStarved(left, nowMs, tuning);
	const rightStarved = isStarved(right, nowMs, tuning);
	if (leftStarved !== rightStarved) {
		return leftStarved ? -1 : 1;
	}

	const keyDifference = leftStarved
		? 0
		: right.priority - left.priority ||
			(settings.programOrder
				? compareNeeds(left, right, context)
				: computeOrderKeyMs(left, settings, tuning) -
					computeOrderKeyMs(right, settings, tuning));
	return (
		keyDifference ||
		left.queuedAtMs - right.queuedAtMs ||
		compareText(left.programId, right.programId) ||
		compareText(left.requestId, right.requestId)
	);
};
