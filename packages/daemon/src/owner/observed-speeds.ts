import {
	createEngineSpeeds,
	type EngineSpeeds,
	readRelativeSpeed,
	recordSpeed,
} from '@marjoramcove/scheduler';
import type {UpstreamId} from '@marjoramcove/types';

/** Speed of an engine as measured on one call. */
export type SpeedObservation = {
	upstreamId: UpstreamId;
	model: string;
	/** Time at the engine divided by the estimate for an engine of normal speed; above 1 is slower. */
	ratio: number;
};

/** Relative speeds of engines, measured on settled calls and compared among the engines of a model. */
export class ObservedSpeeds {
	readonly #speedsByModel = new Map<string, EngineSpeeds>();

	record({upstreamId, model, ratio}: SpeedObservation): void {
		this.#speedsByModel.set(
			model,
			recordSpeed(
				this.#speedsByModel.get(model) ?? createEngineSpeeds(),
				upstreamId,
				ratio,
			),
		);
	}

	/** Relative speed for `EngineView.relativeSpeed`; 1 without observations. */
	read(model: string, upstreamId: UpstreamId): number {
		const speeds = this.#speedsByModel.get(model);
		return speeds ? readRelativeSpeed(speeds, upstreamId) : 1;
	}

	/** Removes engines that are no longer registered, and models without engines. */
	retainOnly(registered: ReadonlySet<UpstreamId>): void {
		for (const [model, {engineRatios: engines}] of this.#speedsByModel) {
			for (const upstreamId of engines.keys()) {
				if (!registered.has(upstreamId)) {
					engines.delete(upstreamId);
				}
			}

			if (engines.size === 0) {
				this.#speedsByModel.delete(model);
			}
		}
	}
}
