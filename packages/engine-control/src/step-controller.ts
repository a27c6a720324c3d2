import {assertInvariant} from '@marjoramcove/errors';
import {MAX_CLOCK_DRIFT, type UpstreamId} from '@marjoramcove/types';
import type {
	ControllerAction,
	ControllerEvent,
	ControllerStep,
} from './events.ts';
import {planEngine} from './plan-engine.ts';
import {
	type ControlledEngine,
	type ControllerState,
	type EngineRecord,
	unfencedWaitMs,
} from './state.ts';

type EventOf<Type extends ControllerEvent['type']> = Extract<
	ControllerEvent,
	{type: Type}
>;

/** Starts a leadership, at which the state of the engines and the recent loads are unknown. */
const startLeadership = (
	state: ControllerState,
	{fencingNumber}: EventOf<'leadership-started'>,
	nowMs: number,
): void => {
	if (fencingNumber <= state.fencingNumber) {
		return;
	}

	const {settings} = state;
	state.fencingNumber = fencingNumber;
	state.isLeader = true;
	state.leaderSinceMs = nowMs;
	state.leaseUntilMs = Number.NEGATIVE_INFINITY;
	state.unfencedFromMs = nowMs + unfencedWaitMs(settings);
	// The previous leader may have just exhausted the rate limit of the weight store.
	state.loadStartsMs = Array.from(
		{length: settings.loadsPerInterval},
		() => nowMs,
	);
	for (const record of state.engines.values()) {
		record.report = undefined;
		record.outstanding = undefined;
	}
};

/** Extends the lease, unless the round began before this leadership and so does not confirm it. */
const confirmLeadership = (
	state: ControllerState,
	{roundBeganAtMs}: EventOf<'leadership-confirmed'>,
): void => {
	if (roundBeganAtMs >= state.leaderSinceMs) {
		const leaseDurationMs =
			state.settings.leaderLeaseMs * (1 - MAX_CLOCK_DRIFT);
		state.leaseUntilMs = Math.max(
			state.leaseUntilMs,
			roundBeganAtMs + leaseDurationMs,
		);
	}
};

const stopLeadership = (state: ControllerState): void => {
	state.isLeader = false;
	state.leaseUntilMs = Number.NEGATIVE_INFINITY;
};

const updateEngines = (
	state: ControllerState,
	engines: ControlledEngine[],
): void => {
	const known = state.engines;
	state.engines = new Map(
		engines.map((engine): [UpstreamId, EngineRecord] => [
			engine.upstreamId,
			{
				...(known.get(engine.upstreamId) ?? {
					reportedAtMs: 0,
					nextOrderMs: Number.NEGATIVE_INFINITY,
				}),
				engine,
			},
		]),
	);
};

/** Returns the record that is waiting for this answer, or undefined if the answer is late or repeated. */
const findRecordForAnswer = (
	state: ControllerState,
	event: EventOf<'state-read' | 'read-failed' | 'order-answered'>,
): EngineRecord | undefined => {
	const record = state.engines.get(event.upstreamId);
	const outstanding = record?.outstanding;
	if (!outstanding) {
		return undefined;
	}

	const isMatch =
		event.type === 'order-answered'
			? outstanding.type !== 'read' && outstanding.orderId === event.orderId
			: outstanding.type === 'read' && outstanding.readId === event.readId;
	return isMatch ? record : undefined;
};

/** Handles the answer to an order or a load. The engine is read again before the next one. */
const handleOrderAnswer = (
	state: ControllerState,
	event: EventOf<'order-answered'>,
	nowMs: number,
): ControllerAction[] => {
	const record = findRecordForAnswer(state, event);
	if (!record) {
		return [];
	}

	record.outstanding = undefined;
	if (event.outcome === 'rate-limited') {
		state.loadStartsMs = Array.from(
			{length: state.settings.loadsPerInterval},
			() => nowMs,
		);
	}

	if (event.outcome !== 'fenced') {
		return [];
	}

	stopLeadership(state);
	return [
		{
			type: 'fenced-off',
			upstreamId: event.upstreamId,
			fencingNumber: state.fencingNumber,
		},
	];
};

const handleReadAnswer = (
	state: ControllerState,
	event: EventOf<'state-read' | 'read-failed'>,
	nowMs: number,
): void => {
	const record = findRecordForAnswer(state, event);
	if (record && event.type === 'state-read') {
		record.outstanding = undefined;
		record.report = event.report;
		record.reportedAtMs = nowMs;
	}
};

const applyEvent = (
	state: ControllerState,
	event: ControllerEvent,
	nowMs: number,
): ControllerAction[] => {
	switch (event.type) {
		case 'leadership-started': {
			startLeadership(state, event, nowMs);
			return [];
		}

		case 'leadership-confirmed': {
			confirmLeadership(state, event);
			return [];
		}

		case 'leadership-lost': {
			stopLeadership(state);
			return [];
		}

		case 'engines': {
			updateEngines(state, event.engines);
			return [];
		}

		case 'state-read':
		case 'read-failed': {
			handleReadAnswer(state, event, nowMs);
			return [];
		}

		case 'order-answered': {
			return handleOrderAnswer(state, event, nowMs);
		}

		case 'tick': {
			return [];
		}
	}
};

/** Whether this daemon may act as the leader now. */
export const canIssueOrders = (
	state: ControllerState,
	nowMs: number,
): boolean => state.isLeader && nowMs < state.leaseUntilMs;

/** Asserts that an order is allowed and carries the current fencing number. */
const assertAction = (
	state: ControllerState,
	action: ControllerAction,
	nowMs: number,
	event: ControllerEvent,
): void => {
	if (action.type !== 'send-order' && action.type !== 'load-weights') {
		return;
	}

	assertInvariant(
		action.order.fencingNumber === state.fencingNumber,
		'order-has-current-fencing-number',
		event,
	);
	assertInvariant(
		canIssueOrders(state, nowMs),
		'order-only-under-leader-lease',
		event,
	);
	assertInvariant(
		state.engines.get(action.upstreamId)?.engine.checksFencing === true ||
			nowMs >= state.unfencedFromMs,
		'unfenced-engine-waits-for-old-leader',
		event,
	);
};

/**
 * Applies an event to the engine controller of the configuration leader and plans the next actions.
 *
 * @param nowMs - monotonic clock of the process; an earlier time than before counts as the latest time.
 * @throws InvariantViolationError when an order would violate the rules of fencing.
 * @example
 * ```ts
 * const {state, actions} = stepController(previous, {type: 'tick'}, nowMs);
 * ```
 */
export const stepController = (
	state: ControllerState,
	event: ControllerEvent,
	nowMs: number,
): ControllerStep => {
	const {fencingNumber} = state;
	state.clockMs = Math.max(state.clockMs, nowMs);
	const {clockMs} = state;
	const actions = applyEvent(state, event, clockMs);
	if (canIssueOrders(state, clockMs)) {
		for (const record of state.engines.values()) {
			const action = planEngine(state, record, clockMs);
			if (action) {
				actions.push(action);
			}
		}
	}

	assertInvariant(
		state.fencingNumber >= fencingNumber,
		'fencing-number-only-grows',
		event,
	);
	for (const action of actions) {
		assertAction(state, action, clockMs, event);
	}

	return {state, actions};
};
