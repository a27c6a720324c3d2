import type {UpstreamId} from '@marjoramcove/types';
import {readTuning} from './policy-tuning.ts';
import type {EngineView, PolicySettings, RandomSource} from './types.ts';

/** Access to the views of the engines that a program may use, without a copy of all of them. */
export type EngineDirectory = {
	count: number;
	/** View by position, 0 to count - 1. */
	viewAt(position: number): EngineView;
	viewOf(upstreamId: UpstreamId): EngineView | undefined;
};

/**
 * Returns the views that a routing decision looks at: the engines in `cachedOn` and a few sampled ones.
 * All views are returned when there are no more than these; otherwise the cost is independent of the
 * number of engines.
 *
 * @example
 * ```ts
 * const views = sampleViews(directory, [previousUpstreamId], settings, Math.random);
 * ```
 */
export const sampleViews = (
	directory: EngineDirectory,
	cachedOn: readonly UpstreamId[],
	settings: PolicySettings,
	random: RandomSource,
): EngineView[] => {
	const {sampledEngines} = readTuning(settings);
	const chosen = new Map<UpstreamId, EngineView>();
	for (const upstreamId of cachedOn) {
		const view = directory.viewOf(upstreamId);
		if (view) {
			chosen.set(upstreamId, view);
		}
	}

	const sampleAll = directory.count <= sampledEngines + cachedOn.length;
	const draws = sampleAll ? directory.count : sampledEngines;
	for (let draw = 0; draw < draws; draw++) {
		const position = sampleAll ? draw : Math.floor(random() * directory.count);
		const view = directory.viewAt(position);
		chosen.set(view.upstreamId, view);
	}

	return [...chosen.values()];
};
