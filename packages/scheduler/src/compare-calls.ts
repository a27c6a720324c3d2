import type {PolicySettings, PolicyTuning, QueuedCall} from './types.ts';

/** Time and settings under which calls are compared. */
export type OrderContext = {
	nowMs: number;
	settings: PolicySettings;
	tuning: PolicyTuning;
};

const compareText = (left: string, right: string): number =>
	left < right ? -1 : left > right ? 1 : 0;

const hasStarved = (call: QueuedCall, nowMs: number, tuning: PolicyTuning) =>
	nowMs - call.queuedAtMs >= tuning.starvationMs;

/** Key of a call: the time by which its program should be served; the smallest goes first. */
const computeUrgency = (
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
 * Orders two waiting calls of one engine; negative when the left one goes first.
 *
 * The order is total: starved calls by their waiting time, then selector priority, then the urgency of
 * the program, then the time of queueing and the ids.
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
	const leftStarved = hasStarved(left, nowMs, tuning);
	const rightStarved = hasStarved(right, nowMs, tuning);
	if (leftStarved !== rightStarved) {
		return leftStarved ? -1 : 1;
	}

	const urgencyDifference = leftStarved
		? 0
		: right.priority - left.priority ||
			computeUrgency(left, settings, tuning) -
				computeUrgency(right, settings, tuning);
	return (
		urgencyDifference ||
		left.queuedAtMs - right.queuedAtMs ||
		compareText(left.programId, right.programId) ||
		compareText(left.requestId, right.requestId)
	);
};
