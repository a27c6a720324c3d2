import * as fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {scheduleFault, FAULTS} from './faults.ts';
import {computeMetrics, computeQuantile} from './metrics.ts';
import {scaleScenario} from './scale-scenario.ts';
import {MarjoramcovePolicy} from './marjoramcove-policy.ts';
import {PrefixCache} from './prefix-cache.ts';
import {averageRows} from './row.ts';
import {LIVE_BUDGET} from './run-live.ts';
import {computeRecovery} from './run-failures.ts';
import {runPolicy} from './run-policy.ts';
import {createPolicies, runScenario} from './run-scenario.ts';
import {BARAMYEON} from './scenarios.ts';
import {VirtualClock} from './virtual-clock.ts';
import {drawWorkload} from './workload.ts';

const arrivals = {
	warmUpMs: 10_000,
	warmUpLoad: 0.7,
	measuredMs: 40_000,
	bellAfterMs: 30_000,
};
const scenario = {...BARAMYEON, engines: 3, arrivals, loads: [1.4]};

describe('simulation', () => {
	it('finishes or refuses every program exactly once, under every policy and fault', () => {
		const policies = [0, 1, 2, 3].map(
			(index) => () => createPolicies(scenario)[index]!,
		);
		const independent = () =>
			new MarjoramcovePolicy(scenario.settings, {independent: true});
		fc.assert(
			fc.property(
				fc.nat(1000),
				fc.constantFrom(...policies, independent),
				fc.constantFrom(...FAULTS),
				(seed, createPolicy, fault) => {
					const programs = drawWorkload({
						...scenario,
						engines: 6,
						load: 1.2,
						seed,
					});
					const run = runPolicy(
						{...scenario, engines: 6},
						programs,
						{policy: createPolicy(), seed},
						({fleet}, clock) => {
							scheduleFault(
								fault,
								{fleet, clock},
								{startMs: 20_000, endMs: 30_000},
							);
						},
					);
					const ended = run.programs.map(({plan}) => plan.index);
					expect(ended.toSorted((left, right) => left - right)).toEqual(
						programs.map(({index}) => index),
					);
					for (const {finishedAtMs, refusedReason, plan} of run.programs) {
						expect(
							(finishedAtMs === undefined) === (refusedReason === undefined),
						).toBe(false);
						expect(
							(finishedAtMs ?? Number.POSITIVE_INFINITY) - plan.arrivalMs,
						).toBeGreaterThanOrEqual(plan.lowerBoundMs);
					}

					expect(run.wastedTokens).toBeGreaterThanOrEqual(0);
				},
			),
			{numRuns: 25, seed: 1},
		);
	});

	it('returns the same rows for the same seed and different rows for another seed', () => {
		const rows = runScenario(scenario, {seed: 5});
		expect(runScenario(scenario, {seed: 5})).toEqual(rows);
		expect(runScenario(scenario, {seed: 6})).not.toEqual(rows);
	});
});

describe('scaleScenario', () => {
	it('draws programs that fit in their budget; otherwise a live run would measure only refusals', () => {
		const live = scaleScenario(BARAMYEON);
		for (const {chain} of drawWorkload({...live, load: 1.1, seed: 1})) {
			const prompts = chain.turns.map((_, turn) =>
				chain.turns
					.slice(0, turn + 1)
					.reduce(
						(sum, {newTokens, completionTokens}) =>
							sum + newTokens + completionTokens,
						0,
					),
			);
			expect(prompts.reduce((sum, tokens) => sum + tokens, 0)).toBeLessThan(
				LIVE_BUDGET.tokens,
			);
			expect(chain.turns.length).toBeLessThanOrEqual(LIVE_BUDGET.turns);
		}
	});
});

describe('VirtualClock', () => {
	it('runs timers by time, and timers of equal time in order of creation, so that runs are reproducible', () => {
		fc.assert(
			fc.property(fc.array(fc.nat(20), {maxLength: 60}), (delays) => {
				const clock = new VirtualClock();
				const fired: Array<[number, number]> = [];
				for (const [index, delay] of delays.entries()) {
					clock.after(delay, () => fired.push([clock.nowMs, index]));
				}

				clock.run(() => false);
				const expected = delays.map((delay, index): [number, number] => [
					delay,
					index,
				]);
				expect(fired).toEqual(
					expected.toSorted(
						(left, right) => left[0] - right[0] || left[1] - right[1],
					),
				);
			}),
		);
	});
});

describe('PrefixCache', () => {
	it('evicts in LRU order from the tail and never exceeds its capacity', () => {
		const evicted: Array<[string, number]> = [];
		const cache = new PrefixCache(100, 0, (key, tokens) =>
			evicted.push([key, tokens]),
		);
		for (const [index, key] of ['a', 'b', 'c'].entries()) {
			cache.reserve(key, {historyTokens: 0, totalTokens: 30}, index);
			cache.release(key, 30, index);
		}

		expect(cache.reserve('d', {historyTokens: 0, totalTokens: 50}, 10)).toEqual(
			{hitTokens: 0, importedTokens: 0},
		);
		expect(evicted).toEqual([
			['a', 0],
			['b', 20],
		]);
		expect(cache.usedTokens).toBe(100);
		expect(cache.unusedTokenMs).toBe(30 * 10 + 10 * 9);
		expect(
			cache.reserve('e', {historyTokens: 0, totalTokens: 60}, 11),
		).toBeUndefined();
	});
});

describe('figures', () => {
	const plan = drawWorkload({...scenario, load: 1, seed: 1}).find(
		({measured}) => measured,
	)!;

	it('counts a refused program as never finished in the p95 with refusals, so that refusals do not lower it', () => {
		const finished = Array.from({length: 18}, () => ({
			plan,
			finishedAtMs: plan.arrivalMs + 10,
		}));
		const programs = [
			...finished,
			{plan, refusedReason: 'overloaded'},
			{plan, refusedReason: 'overloaded'},
		];
		const metrics = computeMetrics(
			{
				programs,
				calls: [],
				promptTokens: 0,
				wastedTokens: 0,
				unusedCacheTokenSeconds: 0,
				endedAtMs: 0,
			},
			1000,
		);
		expect(metrics.programLatencyP95Ms).toBe(10);
		expect(metrics.programLatencyP95WithRefusedMs).toBeNull();
		expect(metrics.refusedByReason).toEqual({overloaded: 2});
	});

	it('computes quantiles of sorted values', () => {
		expect(computeQuantile([1, 2, 3, 4], 0.5)).toBe(2);
		expect(computeQuantile([], 0.5)).toBeNull();
	});

	it('averages to null when a seed has no value, so that refusals are not hidden', () => {
		const row = {scenario: 's', load: 1, policy: 'p', seed: 1};
		expect(
			averageRows([
				{...row, x: 1, y: 1},
				{...row, seed: 2, x: 3, y: null},
			]),
		).toEqual([{...row, seed: 2, x: 2, y: null}]);
	});

	it('reports no recovery while calls remain slow', () => {
		const createCalls = (slowdownAt: (second: number) => number) =>
			Array.from({length: 200}, (_, second) => ({
				issuedAtMs: second * 1000,
				finishedAtMs: second * 1000,
				slowdown: slowdownAt(second),
			}));
		const steady = createCalls(() => 2);
		const calls = createCalls((second) =>
			second >= 130 && second < 150 ? 3 : 2.1,
		);
		const period = {startMs: 130_000, endMs: 140_000};
		const computeRecoveryMs = (untilMs: number) =>
			computeRecovery(calls, steady, {...period, untilMs}).recoveryMs;
		expect(computeRecoveryMs(200_000)).toBe(15_000);
		expect(computeRecoveryMs(150_000)).toBeNull();
	});
});
