import {estimateWorkMs} from './estimate-work.ts';
import {readTuning} from './policy-tuning.ts';
import type {
	EngineView,
	PolicySettings,
	PolicyTuning,
	RandomSource,
	RoutingRequest,
} from './types.ts';

/** Assumed share of completion tokens in the outstanding tokens when a view does not state it. */
const ASSUMED_COMPLETION_SHARE = 0.1;

/** Lower bound of the relative speed in estimates; a slower engine has effectively stopped. */
const MIN_RELATIVE_SPEED = 0.02;

/**
 * Relative speed from which routing treats an engine as normal. The number of its open calls already
 * reflects a moderate slowdown, and the speed estimate lags: with a higher threshold, programs left an
 * engine that ran at a third of its speed and recomputed their prefixes elsewhere, and the engine was
 * still avoided for 15 s after it had recovered.
 */
const NORMAL_SPEED_THRESHOLD = 0.1;

/** Whether an engine accepts new work. */
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
 * token, multiplied by the latency weight, plus the engine time to compute its uncached prompt,
 * multiplied by the cache weight.
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
		view.relativeSpeed < NORMAL_SPEED_THRESHOLD
			? Math.max(view.relativeSpeed, MIN_RELATIVE_SPEED)
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
	// A decoding step in an empty batch takes about half as long as in a full one.
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
 * Chooses the engine with the lowest expected cost among the given views; ties are broken at random.
 * Returns undefined when no view is eligible.
 *
 * Leaving and unhealthy engines are never chosen. With many engines, pass the result of `sampleViews`
 * instead of all views.
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
