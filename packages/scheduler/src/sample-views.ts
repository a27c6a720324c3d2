import type {UpstreamId} from '@marjoramcove/types';
import {readTuning} from './policy-tuning.ts';
import type {EngineView, PolicySettings, RandomSource} from './types.ts';

/** Access to the views of the engines that a program may use, without copying them all. */
export type EngineDirectory = {
	count: number;
	/** @param position - from 0 to `count - 1`. */
	viewAt(position: number): EngineView;
	viewOf(upstreamId: UpstreamId): EngineView | undefined;
};

/**
 * Returns the views that a routing decision considers: the engines in `cachedOn` and a few random ones,
 * or all views when there are no more than that. The cost does not depend on the number of engines.
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

	const returnsAll = directory.count <= sampledEngines + cachedOn.length;
	const viewCount = returnsAll ? directory.count : sampledEngines;
	for (let index = 0; index < viewCount; index++) {
		const position = returnsAll
			? index
			: Math.floor(random() * directory.count);
		const view = directory.viewAt(position);
		chosen.set(view.upstreamId, view);
	}

	return [...chosen.values()];
};
