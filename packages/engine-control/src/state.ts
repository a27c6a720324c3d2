import {MAX_CLOCK_DRIFT, type UpstreamId} from '@marjoramcove/types';
import type {EngineState} from './engine-state.ts';

export type ControllerSettings = {
	/** Time for which a leader may act on one confirmation of its leadership, measured by its own clock. */
	leaderLeaseMs: number;
	/** Time after which an engine no longer executes an order, measured by the clock of the engine. */
	orderLifetimeMs: number;
	/** Time after which an unanswered load of weights is considered lost. */
	loadTimeoutMs: number;
	/** Time after which an unanswered read is considered lost. */
	readTimeoutMs: number;
	/** Minimum interval between two orders to one engine. */
	orderIntervalMs: number;
	/** Interval between reads of an engine that is in the desired state. */
	readIntervalMs: number;
	/** Number of loads that the weight store allows per `loadIntervalMs`. */
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

/** Registered engine with its desired state. */
export type ControlledEngine = {
	upstreamId: UpstreamId;
	checksFencing: boolean;
	desired: EngineState;
};

/** Request to an engine whose answer is outstanding. */
export type OutstandingAction =
	| {type: 'read'; readId: number; untilMs: number}
	| {type: 'order' | 'load'; orderId: string; untilMs: number};

/** State of one engine as known to the controller. */
export type EngineRecord = {
	engine: ControlledEngine;
	/** Report that was read after the last order or load; absent when a read is due. */
	report?: EngineState;
	reportedAtMs: number;
	/** Earliest time of the next order to the engine. */
	nextOrderMs: number;
	outstanding?: OutstandingAction;
};

export type ControllerState = {
	settings: ControllerSettings;
	/** Latest time of an event. */
	clockMs: number;
	/** Fencing number of the latest leadership; 0 before the first one. It never decreases. */
	fencingNumber: number;
	isLeader: boolean;
	leaderSinceMs: number;
	/** Time until which the leader may act. */
	leaseUntilMs: number;
	/** Time from which orders may be sent to engines that do not check fencing numbers. */
	unfencedFromMs: number;
	nextId: number;
	/** Start times of recent loads, oldest first. */
	loadStartsMs: number[];
	engines: Map<UpstreamId, EngineRecord>;
};

/** Creates a controller that is not the leader. */
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

/** Converts a duration on the slowest allowed clock to the time that passes on the fastest one. */
export const worstCaseDurationMs = (durationMs: number): number =>
	(durationMs * (1 + MAX_CLOCK_DRIFT)) / (1 - MAX_CLOCK_DRIFT);

/**
 * Time that a new leader waits before it sends orders to an engine that does not check fencing numbers:
 * the lease of the old leader plus the lifetime of its last order, both on the slowest allowed clock,
 * measured by the fastest one.
 *
 * @example
 * ```ts
 * unfencedWaitMs({...settings, leaderLeaseMs: 2000, orderLifetimeMs: 5000}); // about 7142
 * ```
 */
export const unfencedWaitMs = ({
	leaderLeaseMs,
	orderLifetimeMs,
}: ControllerSettings): number =>
	worstCaseDurationMs(leaderLeaseMs + orderLifetimeMs);
