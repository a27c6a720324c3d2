import type {UpstreamId} from '@marjoramcove/types';

/**
 * Ratios of observed to estimated call durations, as exponential moving averages per engine and for the
 * whole fleet. A process keeps one record for the engines of each model.
 */
export type EngineSpeeds = {
	fleetRatio: number;
	engineRatios: Map<UpstreamId, number>;
};

/** Weights of a new observation; an engine's average follows a change within about ten calls. */
const ENGINE_WEIGHT = 0.15;
const FLEET_WEIGHT = 0.01;

/** Speeds above this count as normal, because call durations vary with the batch. */
const NORMAL_SPEED_THRESHOLD = 0.6;

/**
 * Creates a record without observations.
 *
 * @example
 * ```ts
 * const speeds = createEngineSpeeds();
 * ```
 */
export const createEngineSpeeds = (): EngineSpeeds => ({
	fleetRatio: 1,
	engineRatios: new Map(),
});

/**
 * Records the duration of a finished call. Mutates and returns `speeds`.
 *
 * @param ratio - time from sending the call to its end, divided by the estimate for an engine at normal speed.
 * @example
 * ```ts
 * speeds = recordSpeed(speeds, upstreamId, actualMs / expectedMs);
 * ```
 */
export const recordSpeed = (
	speeds: EngineSpeeds,
	upstreamId: UpstreamId,
	ratio: number,
): EngineSpeeds => {
	const engineRatio = speeds.engineRatios.get(upstreamId) ?? speeds.fleetRatio;
	speeds.engineRatios.set(
		upstreamId,
		engineRatio + ENGINE_WEIGHT * (ratio - engineRatio),
	);
	speeds.fleetRatio += FLEET_WEIGHT * (ratio - speeds.fleetRatio);
	return speeds;
};

/**
 * Returns the speed of an engine relative to the fleet, for `EngineView.relativeSpeed`; 1 without
 * observations.
 *
 * @example
 * ```ts
 * const relativeSpeed = readRelativeSpeed(speeds, upstreamId);
 * ```
 */
export const readRelativeSpeed = (
	speeds: EngineSpeeds,
	upstreamId: UpstreamId,
): number => {
	const engineRatio = speeds.engineRatios.get(upstreamId);
	const speed =
		engineRatio === undefined
			? 1
			: speeds.fleetRatio / Math.max(engineRatio, 0.001);
	return speed > NORMAL_SPEED_THRESHOLD ? 1 : speed;
};
