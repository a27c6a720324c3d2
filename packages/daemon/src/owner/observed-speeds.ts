import {
	createEngineSpeeds,
	type EngineSpeeds,
	readRelativeSpeed,
	recordSpeed,
} from '@marjoramcove/scheduler';
import type {UpstreamId} from '@marjoramcove/types';

/** How fast an engine finished a call. */
export type SpeedObservation = {
	upstreamId: UpstreamId;
	model: string;
	/** Time at the engine divided by the estimate for an engine of normal speed. */
	ratio: number;
};

/** Speeds of engines as settled calls show them, compared among the engines of one model. */
export class ObservedSpeeds {
	readonly #models = new Map<string, EngineSpeeds>();

	record({upstreamId, model, ratio}: SpeedObservation): void {
		this.#models.set(
			model,
			recordSpeed(
				this.#models.get(model) ?? createEngineSpeeds(),
				upstreamId,
				ratio,
			),
		);
	}

	/** Speed for `EngineView.relativeSpeed`; 1 without observations. */
	read(model: string, upstreamId: UpstreamId): number {
		const speeds = this.#models.get(model);
		return speeds ? readRelativeSpeed(speeds, upstreamId) : 1;
	}

	/** Forgets engines that are not registered any more, and models without engines. */
	keep(registered: ReadonlySet<UpstreamId>): void {
		for (const [model, {engines}] of this.#models) {
			for (const upstreamId of engines.keys()) {
				if (!registered.has(upstreamId)) {
					engines.delete(upstreamId);
				}
			}

			if (engines.size === 0) {
				this.#models.delete(model);
			}
		}
	}
}
