import {computeMetrics, computeMean} from './metrics.ts';
import {FAULTS, type Fault, scheduleFault} from './faults.ts';
import {type Row, toRow} from './row.ts';
import {runPolicy} from './run-policy.ts';
import {createPolicies, type RunOptions} from './run-scenario.ts';
import type {Scenario} from './scenarios.ts';
import type {CallRecord} from './simulation.ts';
import {drawWorkload} from './workload.ts';

/** Load during the faults; the remaining engines can serve it when one of six has failed. */
const FAILURE_LOAD = 0.7;
const MEASURED_MS = 600_000;
const FAULT_AFTER_MS = 300_000;
const FAULT_MS = 60_000;
/** Window over which the slowdown of the finished calls is averaged, and the step between windows. */
const WINDOW_MS = 5000;
const STEP_MS = 1000;

const computeMeanSlowdown = (
	calls: readonly CallRecord[],
	fromMs: number,
	toMs: number,
): number | null =>
	computeMean(
		calls
			.filter(({finishedAtMs}) => finishedAtMs >= fromMs && finishedAtMs < toMs)
			.map(({slowdown}) => slowdown),
	);

/**
 * Computes the time from the end of the fault to the end of the first window in which the mean slowdown
 * of the calls is within 10% of the steady one; null when no window before the end of the run is.
 *
 * The steady slowdown is taken from the same window of a run of the same programs without the fault,
 * because the load varies by more than 10% between windows even without faults.
 */
export const computeRecovery = (
	calls: readonly CallRecord[],
	steadyCalls: readonly CallRecord[],
	{startMs, endMs, untilMs}: {startMs: number; endMs: number; untilMs: number},
): {
	steadySlowdown: number | null;
	faultSlowdown: number | null;
	recoveryMs: number | null;
} => {
	const duringFault = {
		steadySlowdown: computeMeanSlowdown(steadyCalls, startMs, endMs),
		faultSlowdown: computeMeanSlowdown(calls, startMs, endMs),
	};
	for (let fromMs = endMs; fromMs + WINDOW_MS <= untilMs; fromMs += STEP_MS) {
		const slowdown = computeMeanSlowdown(calls, fromMs, fromMs + WINDOW_MS);
		const steady = computeMeanSlowdown(steadyCalls, fromMs, fromMs + WINDOW_MS);
		if (slowdown !== null && steady !== null && slowdown <= 1.1 * steady) {
			return {...duringFault, recoveryMs: fromMs + WINDOW_MS - endMs};
		}
	}

	return {...duringFault, recoveryMs: null};
};

/** Runs each fault with each policy; the `load` column contains the name of the fault. */
export const runFailures = (
	base: Scenario,
	{seed, policies, faults = FAULTS}: RunOptions & {faults?: readonly Fault[]},
): Row[] => {
	const warmUpLoad = FAILURE_LOAD;
	const {warmUpMs} = base.arrivals;
	const arrivals = {warmUpMs, warmUpLoad, measuredMs: MEASURED_MS};
	const scenario = {...base, arrivals};
	const startMs = warmUpMs + FAULT_AFTER_MS;
	const endMs = startMs + FAULT_MS;
	const period = {startMs, endMs, untilMs: warmUpMs + MEASURED_MS};
	const programs = drawWorkload({...scenario, load: FAILURE_LOAD, seed});
	return createPolicies(scenario)
		.filter(({name}) => !policies || policies.includes(name))
		.flatMap((policy) => {
			const steady = runPolicy(scenario, programs, {policy, seed});
			return faults.map((fault) => {
				const run = runPolicy(
					scenario,
					programs,
					{policy, seed},
					({fleet}, clock) => {
						scheduleFault(fault, {fleet, clock}, period);
					},
				);
				const row = toRow(
					{scenario: 'failures', load: fault, policy: policy.name, seed},
					computeMetrics(run, MEASURED_MS),
				);
				return Object.assign(
					row,
					computeRecovery(run.calls, steady.calls, period),
				);
			});
		});
};
