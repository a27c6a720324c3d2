import type {UpstreamResource} from '@marjoramcove/configuration';
import type {ProgramDescription} from '@marjoramcove/programs';
import {asId, type UpstreamId, type ZoneName} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {ObservedSpeeds} from './observed-speeds.ts';
import {OpenCallLoads} from './open-call-loads.ts';
import type {OwnerCore} from './owner-core.ts';
import {routeCall, type RouteRequest} from './route-call.ts';

const zone = asId<ZoneName>('zone-a');
const upstreamIdOf = (index: number) => asId<UpstreamId>(`engine-${index}`);

/** Creates an owner core with this many engines; counts the engine views that a decision creates. */
const createCore = (count: number, isHealthy: (id: UpstreamId) => boolean) => {
	const upstreams = Array.from({length: count}, (_, index) => ({
		kind: 'Upstream',
		name: upstreamIdOf(index),
		labels: {},
		spec: {type: 'engine', zone, slots: 8, models: ['m']},
	})) as unknown as UpstreamResource[];
	const byName = new Map(upstreams.map((item) => [item.name, item]));
	const counts = {views: 0};
	const core = {
		context: {settings: {policy: {latencyWeight: 1, cacheWeight: 1}}},
		configuration: {
			view: {
				upstreamsFor: () => upstreams,
				upstreamFor: (name: UpstreamId) => byName.get(name),
			},
			members: new Map([['d1', {incarnation: 'i1'}]]),
		},
		speeds: new ObservedSpeeds(),
		upstreams: {
			load: () => ({
				running: 0,
				waiting: 0,
				kvTokens: 0,
				kvCapacityTokens: 100_000,
			}),
			lastReport: () => undefined,
			isLeaving: () => false,
			isHealthy(name: UpstreamId) {
				counts.views++;
				return isHealthy(name);
			},
			lookUp: (name: UpstreamId) => byName.get(name),
			dispatcherOf: () => 'd1',
		},
	} as unknown as OwnerCore;
	return {core, counts};
};

const createRequest = (
	previous?: UpstreamId,
	avoid?: UpstreamId[],
): RouteRequest => ({
	program: {
		programId: 'p0-a',
		labels: {},
		historyBytes: 40_000,
		holds: previous ? [{upstreamId: previous, heldTurn: 1}] : [],
	} as unknown as ProgramDescription,
	target: {model: 'm'},
	zone,
	promptTokens: 10_000,
	completionTokens: 100,
	...(avoid && {avoid: new Set(avoid)}),
});

const route = (core: OwnerCore, request: RouteRequest): UpstreamId =>
	routeCall(core, new OpenCallLoads(), request).upstream.name;

describe('routeCall', () => {
	it('considers a few engines whatever their number', () => {
		// Guards against a decision whose cost grows with the number of engines.
		const {core, counts} = createCore(1700, () => true);
		expect(route(core, createRequest(upstreamIdOf(1699)))).toBe(
			upstreamIdOf(1699),
		);
		expect(counts.views).toBe(5);
	});

	it('finds the only eligible engine', () => {
		// Guards against a refusal because all sampled engines are ineligible.
		const {core} = createCore(200, (name) => name === upstreamIdOf(17));
		expect(route(core, createRequest(upstreamIdOf(3)))).toBe(upstreamIdOf(17));
	});

	it('retries at the engine that lost the attempt only when no other is eligible', () => {
		// Guards against a retry that stays with the engine that lost the attempt.
		const failed = upstreamIdOf(17);
		const request = createRequest(failed, [failed]);
		const {core} = createCore(200, (name) => name === failed);
		expect(route(core, request)).toBe(failed);
		const other = createCore(
			200,
			(name) => name === failed || name === upstreamIdOf(60),
		);
		expect(route(other.core, request)).toBe(upstreamIdOf(60));
	});

	it('avoids an engine whose observed speed is close to zero', () => {
		// Guards against a decision that treats every engine as one of normal speed.
		const {core} = createCore(12, () => true);
		for (let round = 0; round < 100; round++) {
			for (let engine = 1; engine < 12; engine++) {
				core.speeds.record({
					upstreamId: upstreamIdOf(engine),
					model: 'm',
					ratio: 1,
				});
			}

			// A slow engine finishes fewer calls.
			if (round % 10 === 0) {
				core.speeds.record({
					upstreamId: upstreamIdOf(0),
					model: 'm',
					ratio: 30,
				});
			}
		}

		for (let call = 0; call < 200; call++) {
			expect(route(core, createRequest())).not.toBe(upstreamIdOf(0));
		}
	});

	it('refuses when no engine is eligible', () => {
		// Guards against a search that does not terminate.
		const {core} = createCore(200, () => false);
		expect(() => route(core, createRequest())).toThrow(
			'leaving or unreachable',
		);
	});
});
