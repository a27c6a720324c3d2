import {describe, expect, it} from 'vitest';
import {computeLatencyBound} from './compute-latency-bound.ts';
import {computeMetrics} from './metrics.ts';
import {runPolicy} from './run-policy.ts';
import {createPolicies} from './run-scenario.ts';
import {BARAMYEON} from './scenarios.ts';
import {drawWorkload} from './workload.ts';

const arrivals = {warmUpMs: 30_000, warmUpLoad: 0.7, measuredMs: 120_000};
const scenario = {...BARAMYEON, engines: 3, arrivals, loads: [0.7, 1.1]};

describe('computeLatencyBound', () => {
	it('does not exceed the p95 of any policy, and has no row when the load exceeds the capacity', () => {
		const [row, ...others] = computeLatencyBound(scenario, 1);
		expect(others).toEqual([]);
		const programs = drawWorkload({...scenario, load: 0.7, seed: 1});
		for (const policy of createPolicies(scenario)) {
			const run = runPolicy(scenario, programs, {policy, seed: 1});
			const {programLatencyP95Ms} = computeMetrics(run, arrivals.measuredMs);
			expect(programLatencyP95Ms).toBeGreaterThan(Number(row!.leastP95Ms));
		}
	});

	it('is lower when prefill delays nothing, and lies between idle engines and equal batches', () => {
		const row = computeLatencyBound(scenario, 1)[0]!;
		const latencies = drawWorkload({...scenario, load: 0.7, seed: 1})
			.filter(({measured}) => measured)
			.map(({lowerBoundMs}) => lowerBoundMs)
			.sort((left, right) => left - right);
		const idleP95Ms = latencies[Math.ceil(0.95 * latencies.length) - 1]!;
		const withoutDelayMs = Number(row.leastP95WithoutPrefillDelayMs);
		expect(withoutDelayMs).toBeGreaterThan(idleP95Ms);
		expect(Number(row.leastP95Ms)).toBeGreaterThan(withoutDelayMs);
		expect(Number(row.equalStepP95Ms)).toBeGreaterThan(Number(row.leastP95Ms));
	});
});
