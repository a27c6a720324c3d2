import {computeFigures, readMean} from './figures.ts';
import {FAULTS, type Fault, planFault} from './faults.ts';
import {type Row, toRow} from './row.ts';
import {runPolicy} from './run-policy.ts';
import {createPolicies, type RunOptions} from './run-scenario.ts';
import type {Scenario} from './scenarios.ts';
import type {CallRecord} from './simulation.ts';
import {drawWorkload} from './workload.ts';

/** Load during the faults: with one engine of six lost, the others can still serve it. */
const FAILURE_LOAD = 0.7;
const MEASURED_MS = 600_000;
const FAULT_AFTER_MS = 300_000;
const FAULT_MS = 60_000;
/** Windows of the mean slowdown of the calls that finish in them. */
const WINDOW_MS = 5000;
const STEP_MS = 1000;

const readSlowdown = (
	calls: readonly CallRecord[],
	fromMs: number,
	toMs: number,
): number | null =>
	readMean(
		calls
			.filter(({finishedAtMs}) => finishedAtMs >= fromMs && finishedAtMs < toMs)
			.map(({slowdown}) => slowdown),
	);

/**
 * Time from the end of the fault to the end of the first window in which the mean slowdown of the
 * calls is within 10% of the steady one; null when there is none before the end of the run.
 *
 * The steady figure is that of the same window in a run of the same programs without the fault: the
 * load of a window varies by more than 10% on its own.
 */
export const readRecovery = (
	calls: readonly CallRecord[],
	steadyCalls: readonly CallRecord[],
	{startMs, endMs, untilMs}: {startMs: number; endMs: number; untilMs: number},
): {
	steadySlowdown: number | null;
	faultSlowdown: number | null;
	recoveryMs: number | null;
} => {
	const during = {
		steadySlowdown: readSlowdown(steadyCalls, startMs, endMs),
		faultSlowdown: readSlowdown(calls, startMs, endMs),
	};
	for (let fromMs = endMs; fromMs + WINDOW_MS <= untilMs; fromMs += STEP_MS) {
		const slowdown = readSlowdown(calls, fromMs, fromMs + WINDOW_MS);
		const steady = readSlowdown(steadyCalls, fromMs, fromMs + WINDOW_MS);
		if (slowdown !== null && steady !== null && slowdown <= 1.1 * steady) {
			return {...during, recoveryMs: fromMs + WINDOW_MS - endMs};
		}
	}

	return {...during, recoveryMs: null};
};

/** Runs each fault under each policy; the column `load` names the fault. */
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
						planFault(fault, {fleet, clock}, period);
					},
				);
				const row = toRow(
					{scenario: 'failures', load: fault, policy: policy.name, seed},
					computeFigures(run, MEASURED_MS),
				);
				return Object.assign(
					row,
					readRecovery(run.calls, steady.calls, period),
				);
			});
		});
};
