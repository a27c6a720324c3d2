import type {UpstreamId} from '@marjoramcove/types';

/**
 * Observed durations of calls relative to their estimates, as running averages per engine and for the
 * fleet. A process keeps one for the engines of each model.
 */
export type EngineSpeeds = {
	fleet: number;
	engines: Map<UpstreamId, number>;
};

/** Weight of a new observation; about ten calls change an average. */
const ENGINE_WEIGHT = 0.15;
const FLEET_WEIGHT = 0.01;

/** Speeds above this count as normal: the durations of calls vary with the batch. */
const NORMAL_ABOVE = 0.6;

/**
 * Creates an empty record.
 *
 * @example
 * ```ts
 * const speeds = createEngineSpeeds();
 * ```
 */
export const createEngineSpeeds = (): EngineSpeeds => ({
	fleet: 1,
	engines: new Map(),
});

/**
 * Records a finished call. Takes ownership of the record.
 *
 * @param ratio - time from sending the call to its end, divided by the estimate for a normal engine.
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
	const own = speeds.engines.get(upstreamId) ?? speeds.fleet;
	speeds.engines.set(upstreamId, own + ENGINE_WEIGHT * (ratio - own));
	speeds.fleet += FLEET_WEIGHT * (ratio - speeds.fleet);
	return speeds;
};

/**
 * Speed of an engine relative to the fleet, for `EngineView.relativeSpeed`; 1 without observations.
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
	const own = speeds.engines.get(upstreamId);
	const speed = own === undefined ? 1 : speeds.fleet / Math.max(own, 0.001);
	return speed > NORMAL_ABOVE ? 1 : speed;
};
