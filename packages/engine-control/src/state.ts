import {MAX_CLOCK_DRIFT, type UpstreamId} from '@marjoramcove/types';
import type {EngineState} from './engine-state.ts';

export type ControllerSettings = {
	/** Time for which a leader acts on one confirmation of its leadership, by its own clock. */
	leaderLeaseMs: number;
	/** Time after which an engine no longer runs an order, by the clock of the engine. */
	orderLifetimeMs: number;
	/** Time after which a load of weights without an answer counts as lost. */
	loadTimeoutMs: number;
	/** Time after which a read without an answer counts as lost. */
	readTimeoutMs: number;
	/** Least interval between two orders to one engine. */
	orderIntervalMs: number;
	/** Interval between reads of an engine that agrees. */
	readIntervalMs: number;
	/** Loads that the weight store allows per interval. */
	loadsPerInterval: number;
	loadIntervalMs: number;
};

export const DEFAULT_CONTROLLER_SETTINGS: ControllerSettings = {
	leaderLeaseMs: 2000,
	orderLifetimeMs: 5000,
	loadTimeoutMs: 600_000,
	readTimeoutMs: 2000,
	orderIntervalMs: 1000,
	readIntervalMs: 10_000,
	loadsPerInterval: 2,
	loadIntervalMs: 10_000,
};

/** An engine as it is registered. */
export type ControlledEngine = {
	upstreamId: UpstreamId;
	checksFencing: boolean;
	desired: EngineState;
};

/** What the controller waits for at one engine. */
export type Outstanding =
	| {type: 'read'; readId: number; untilMs: number}
	| {type: 'order' | 'load'; orderId: string; untilMs: number};

/** The controller's knowledge of one engine. */
export type EngineRecord = {
	engine: ControlledEngine;
	/** Report read since the last order or load ended; absent when a read is due. */
	report?: EngineState;
	reportedAtMs: number;
	/** Time before which the engine gets no further order. */
	nextOrderMs: number;
	outstanding?: Outstanding;
};

export type ControllerState = {
	settings: ControllerSettings;
	/** Newest time seen. */
	clockMs: number;
	/** Number of the current leadership; 0 before the first. It only grows. */
	fencingNumber: number;
	isLeader: boolean;
	leaderSinceMs: number;
	/** Time until which the leader may act. */
	leaseUntilMs: number;
	/** Time from which engines that ignore fencing numbers may get orders. */
	unfencedFromMs: number;
	nextId: number;
	/** Start times of recent loads, the oldest first. */
	loadStartsMs: number[];
	engines: Map<UpstreamId, EngineRecord>;
};

/** Creates a controller that does not lead. */
export const createControllerState = (
	settings: Partial<ControllerSettings> = {},
): ControllerState => ({
	settings: {...DEFAULT_CONTROLLER_SETTINGS, ...settings},
	clockMs: 0,
	fencingNumber: 0,
	isLeader: false,
	leaderSinceMs: Number.POSITIVE_INFINITY,
	leaseUntilMs: Number.NEGATIVE_INFINITY,
	unfencedFromMs: Number.POSITIVE_INFINITY,
	nextId: 1,
	loadStartsMs: [],
	engines: new Map(),
});

/** Time by the fastest clock for a duration by the slowest one. */
export const longestMs = (durationMs: number): number =>
	(durationMs * (1 + MAX_CLOCK_DRIFT)) / (1 - MAX_CLOCK_DRIFT);

/**
 * Time that a new leader waits before it orders to an engine that ignores fencing numbers: the old
 * leader's lease and the lifetime of its last order, both by the slowest clock, measured by the
 * fastest.
 *
 * @example
 * ```ts
 * unfencedWaitMs({...settings, leaderLeaseMs: 2000, orderLifetimeMs: 5000}); // about 7142
 * ```
 */
export const unfencedWaitMs = ({
	leaderLeaseMs,
	orderLifetimeMs,
}: ControllerSettings): number => longestMs(leaderLeaseMs + orderLifetimeMs);
