import {asId, type UpstreamId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {
	matchesDesiredState,
	type ControlledEngine,
	type ControllerAction,
	type ControllerState,
	createControllerState,
	type EngineState,
	stepController,
	unfencedWaitMs,
} from './index.ts';
import {SimulatedEngine} from '@marjoramcove/soak';

const createDesiredState = (version: string): EngineState => ({
	models: ['agent-large'],
	adapters: [],
	version,
	role: 'mixed',
});

const createEngine = (
	checksFencing: boolean,
	version = '1',
): ControlledEngine => ({
	upstreamId: asId<UpstreamId>('engine-1'),
	checksFencing,
	desired: createDesiredState(version),
});

/** Creates a controller that is the leader but has no confirmation yet. */
const createLeader = (
	engines: ControlledEngine[],
	fencingNumber = 1,
	nowMs = 0,
): ControllerState => {
	const state = createControllerState({leaderLeaseMs: 200_000});
	stepController(state, {type: 'engines', engines}, nowMs);
	stepController(state, {type: 'leadership-started', fencingNumber}, nowMs);
	return state;
};

const confirmLeadership = (
	state: ControllerState,
	nowMs: number,
): ControllerAction[] =>
	stepController(
		state,
		{type: 'leadership-confirmed', roundBeganAtMs: nowMs},
		nowMs,
	).actions;

const tick = (state: ControllerState, nowMs: number): ControllerAction[] =>
	stepController(state, {type: 'tick'}, nowMs).actions;

describe('stepController', () => {
	it('does nothing without a confirmed leadership (failure: a partitioned old leader keeps sending orders)', () => {
		const state = createLeader([createEngine(true)]);
		expect(tick(state, 1)).toEqual([]);
		expect(confirmLeadership(state, 2)).toMatchObject([{type: 'read-state'}]);
		stepController(state, {type: 'leadership-lost'}, 3);
		expect(tick(state, 60_000)).toEqual([]);
	});

	it('waits for the old leader before orders to an engine that does not check fencing numbers (failure: two leaders send orders at the same time)', () => {
		const state = createLeader([createEngine(false)]);
		const waitMs = unfencedWaitMs(state.settings);
		expect(confirmLeadership(state, 1)).toEqual([
			{
				type: 'wait',
				upstreamId: 'engine-1',
				reason: 'unfenced-engine',
				untilMs: waitMs,
			},
		]);
		expect(confirmLeadership(state, waitMs - 1)).toMatchObject([
			{type: 'wait'},
		]);
		expect(tick(state, waitMs)).toMatchObject([{type: 'read-state'}]);
	});

	it('stops when an engine knows a newer leader (failure: a fenced-off leader keeps sending orders)', () => {
		const state = createLeader([createEngine(true)]);
		confirmLeadership(state, 0);
		const engine = new SimulatedEngine(asId<UpstreamId>('engine-1'), true);
		engine.state = createDesiredState('0');
		const [order] = stepController(state, engine.read(1), 1).actions;
		expect(order).toMatchObject({type: 'send-order'});
		const {actions} = stepController(
			state,
			{
				type: 'order-answered',
				upstreamId: asId<UpstreamId>('engine-1'),
				orderId: '1-2',
				outcome: 'fenced',
			},
			2,
		);
		expect(actions).toEqual([
			{type: 'fenced-off', upstreamId: 'engine-1', fencingNumber: 1},
		]);
		expect(tick(state, 20_000)).toEqual([]);
	});

	it('starts no more loads than the weight store allows (failure: a new leader overloads the weight store)', () => {
		const engines = Array.from({length: 9}, (_, index) => ({
			...createEngine(true),
			upstreamId: asId<UpstreamId>(`engine-${index}`),
		}));
		const state = createLeader(engines);
		const simulated = new Map(
			engines.map(({upstreamId}) => [
				upstreamId,
				new SimulatedEngine(upstreamId, true),
			]),
		);
		const loadTimesMs: number[] = [];
		let actions = confirmLeadership(state, 0);
		for (let nowMs = 0; nowMs < 100_000; nowMs += 500) {
			for (let next = actions.shift(); next; next = actions.shift()) {
				if (next.type === 'read-state') {
					const answer = simulated.get(next.upstreamId)!.read(next.readId);
					actions.push(...stepController(state, answer, nowMs).actions);
				} else if (next.type === 'load-weights' || next.type === 'send-order') {
					loadTimesMs.push(...(next.type === 'load-weights' ? [nowMs] : []));
					const answer = simulated.get(next.upstreamId)!.receive(next);
					actions.push(...stepController(state, answer, nowMs).actions);
				}
			}

			actions = tick(state, nowMs);
		}

		const {loadsPerInterval, loadIntervalMs} = state.settings;
		expect(loadTimesMs).toHaveLength(9);
		expect(loadTimesMs[0]).toBeGreaterThanOrEqual(loadIntervalMs);
		for (let index = loadsPerInterval; index < loadTimesMs.length; index++) {
			expect(
				loadTimesMs[index]! - loadTimesMs[index - loadsPerInterval]!,
			).toBeGreaterThanOrEqual(loadIntervalMs);
		}

		for (const engine of simulated.values()) {
			expect(matchesDesiredState(engine.state, createDesiredState('1'))).toBe(
				true,
			);
		}
	});
});
