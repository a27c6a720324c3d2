import type {ControllerAction, FencedOrder} from './events.ts';
import {matchesDesiredState, findMissingWeights} from './engine-state.ts';
import {
	type ControllerState,
	type EngineRecord,
	worstCaseDurationMs,
} from './state.ts';

/** Earliest time at which the weight store allows another load. */
const nextLoadAllowedAtMs = ({
	settings,
	loadStartsMs,
}: ControllerState): number => {
	const oldest = loadStartsMs.at(-settings.loadsPerInterval);
	return oldest === undefined
		? Number.NEGATIVE_INFINITY
		: oldest + settings.loadIntervalMs;
};

/**
 * Discards the last report and sets the earliest time of the next order. Without a minimum interval, an
 * engine that rejects or loses orders would be flooded with them.
 */
const markOrderStarted = (
	state: ControllerState,
	record: EngineRecord,
	nowMs: number,
): void => {
	record.report = undefined;
	record.nextOrderMs = nowMs + state.settings.orderIntervalMs;
};

const createOrder = (state: ControllerState): FencedOrder => ({
	fencingNumber: state.fencingNumber,
	orderId: `${state.fencingNumber}-${state.nextId++}`,
	expiresAfterMs: state.settings.orderLifetimeMs,
});

const readEngine = (
	state: ControllerState,
	record: EngineRecord,
	nowMs: number,
): ControllerAction => {
	const readId = state.nextId++;
	record.report = undefined;
	record.outstanding = {
		type: 'read',
		readId,
		untilMs: nowMs + state.settings.readTimeoutMs,
	};
	return {
		type: 'read-state',
		upstreamId: record.engine.upstreamId,
		readId,
	};
};

const loadWeights = (
	state: ControllerState,
	record: EngineRecord,
	weights: string,
	nowMs: number,
): ControllerAction => {
	const {upstreamId} = record.engine;
	const untilMs = nextLoadAllowedAtMs(state);
	if (nowMs < untilMs) {
		return {type: 'wait', upstreamId, reason: 'weight-store-rate', untilMs};
	}

	const order = createOrder(state);
	state.loadStartsMs = [...state.loadStartsMs, nowMs].slice(
		-state.settings.loadsPerInterval,
	);
	markOrderStarted(state, record, nowMs);
	record.outstanding = {
		type: 'load',
		orderId: order.orderId,
		untilMs: nowMs + worstCaseDurationMs(state.settings.loadTimeoutMs),
	};
	return {type: 'load-weights', upstreamId, order, weights};
};

const sendOrder = (
	state: ControllerState,
	record: EngineRecord,
	nowMs: number,
): ControllerAction => {
	const {upstreamId, desired} = record.engine;
	const order = createOrder(state);
	markOrderStarted(state, record, nowMs);
	record.outstanding = {
		type: 'order',
		orderId: order.orderId,
		untilMs: nowMs + worstCaseDurationMs(state.settings.orderLifetimeMs),
	};
	return {type: 'send-order', upstreamId, order, desired};
};

/**
 * Plans the next action for one engine: read its state, then load missing weights and send orders until
 * the state matches the desired one, then read it again at intervals. At most one action is outstanding
 * per engine.
 */
export const planEngine = (
	state: ControllerState,
	record: EngineRecord,
	nowMs: number,
): ControllerAction | undefined => {
	const {engine, report, outstanding} = record;
	if (!engine.checksFencing && nowMs < state.unfencedFromMs) {
		return {
			type: 'wait',
			upstreamId: engine.upstreamId,
			reason: 'unfenced-engine',
			untilMs: state.unfencedFromMs,
		};
	}

	if (outstanding && nowMs < outstanding.untilMs) {
		return undefined;
	}

	if (outstanding !== undefined || !report) {
		return readEngine(state, record, nowMs);
	}

	if (matchesDesiredState(report, engine.desired)) {
		return nowMs - record.reportedAtMs >= state.settings.readIntervalMs
			? readEngine(state, record, nowMs)
			: undefined;
	}

	if (nowMs < record.nextOrderMs) {
		return undefined;
	}

	const [missingWeights] = findMissingWeights(report, engine.desired);
	return missingWeights === undefined
		? sendOrder(state, record, nowMs)
		: loadWeights(state, record, missingWeights, nowMs);
};
