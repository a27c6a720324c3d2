import {estimateWorkMs} from './estimate-work.ts';
import {readTuning} from './policy-tuning.ts';
import type {
	EngineView,
	PolicySettings,
	PolicyTuning,
	RandomSource,
	RoutingRequest,
} from './types.ts';

/** Share of outstanding tokens that is assumed to be completion when a view does not say. */
const ASSUMED_COMPLETION_SHARE = 0.1;

/** Smallest relative speed that estimates divide by; an engine below it is as good as stopped. */
const LEAST_RELATIVE_SPEED = 0.02;

/**
 * Relative speed from which routing counts an engine as normal. Its open calls already show that it is
 * slow, and the estimate of its speed is late: programs that left an engine at a third of its speed
 * computed their prefixes again elsewhere, and the engine was avoided for 15 s after it was well.
 */
const NORMAL_FROM_SPEED = 0.1;

/** Whether an engine may get new work. */
export const isEligible = (view: EngineView): boolean =>
	view.healthy && !view.leaving && view.slots > 0;

const estimateOutstandingMs = (
	view: EngineView,
	tuning: PolicyTuning,
): number => {
	const completionTokens =
		view.outstandingCompletionTokens ??
		view.outstandingTokens * ASSUMED_COMPLETION_SHARE;
	return estimateWorkMs(
		{
			completionTokens,
			prefillTokens: view.outstandingTokens - completionTokens,
		},
		tuning,
	);
};

/**
 * Estimates the cost of a call on an engine in weighted milliseconds: the expected time to its last
 * token, by the latency weight, and the engine time to compute its uncached prompt, by the cache weight.
 *
 * @example
 * ```ts
 * const cost = estimateRoutingCost(request, view, settings);
 * ```
 */
export const estimateRoutingCost = (
	request: RoutingRequest,
	view: EngineView,
	settings: PolicySettings,
): number => {
	const tuning = readTuning(settings);
	const speed =
		view.relativeSpeed < NORMAL_FROM_SPEED
			? Math.max(view.relativeSpeed, LEAST_RELATIVE_SPEED)
			: 1;
	const prefillTokens = Math.max(0, request.promptTokens - view.cachedTokens);
	const prefillMs = prefillTokens * tuning.prefillMsPerToken;
	const calls = view.inFlight + view.queued;
	const waitMs =
		calls < view.slots
			? 0
			: (estimateOutstandingMs(view, tuning) * (calls + 1 - view.slots)) /
				(calls + 1);
	const batchShare = Math.min(1, (calls + 1) / view.slots);
	// A step takes about half as long in an empty batch as in a full one.
	const decodeMs =
		request.expectedCompletionTokens * tuning.stepMs * (0.5 + 0.5 * batchShare);
	const zoneMs = view.zone === request.zone ? 0 : tuning.zoneDelayMs;
	const latencyMs = (waitMs + prefillMs + decodeMs) / speed + zoneMs;
	return (
		settings.latencyWeight * latencyMs +
		(settings.cacheWeight * prefillMs) / speed
	);
};

/**
 * Chooses the engine with the least expected cost among the given views; ties are broken at random.
 * Returns undefined when no view is eligible.
 *
 * Views of leaving or unhealthy engines are never chosen. With many engines, pass the short list of
 * `sampleViews` instead of all views.
 *
 * @example
 * ```ts
 * const view = chooseEngine(request, views, settings, Math.random);
 * ```
 */
export const chooseEngine = (
	request: RoutingRequest,
	views: readonly EngineView[],
	settings: PolicySettings,
	random: RandomSource,
): EngineView | undefined => {
	let best: EngineView | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	let ties = 0;
	for (const view of views) {
		if (!isEligible(view)) {
			continue;
		}

		const cost = estimateRoutingCost(request, view, settings);
		if (best === undefined || cost < bestCost) {
			best = view;
			bestCost = cost;
			ties = 1;
		} else if (cost === bestCost) {
			ties++;
			if (random() * ties < 1) {
				best = view;
			}
		}
	}

	return best;
};
