import {LeastInFlight, RoundRobin, SessionSticky} from './baselines.ts';
import {computeFigures, type Figures} from './figures.ts';
import {MarjoramcovePolicy, POLICY_PARTS} from './marjoramcove-policy.ts';
import type {Policy} from './policy.ts';
import {type Row, toRow} from './row.ts';
import {runPolicy} from './run-policy.ts';
import type {Scenario} from './scenarios.ts';
import {drawWorkload, type ProgramPlan} from './workload.ts';

/** Loads at which the parts of the policy are left out one by one. */
const ABLATION_LOADS = new Set([0.9, 1.1]);

/** Makes the policies that run in all scenarios: ours and the baselines. */
export const createPolicies = (scenario: Scenario): Policy[] => [
	new RoundRobin(),
	new LeastInFlight(),
	new SessionSticky(),
	new MarjoramcovePolicy(scenario.settings),
];

const createAllPolicies = (scenario: Scenario, load: number): Policy[] => [
	...createPolicies(scenario),
	new MarjoramcovePolicy(scenario.settings, {independent: true}),
	...(ABLATION_LOADS.has(load)
		? POLICY_PARTS.map(
				(without) => new MarjoramcovePolicy(scenario.settings, {without}),
			)
		: []),
];

/** Figures of each program alone on an idle fleet. */
const computeLowerBound = (
	programs: ProgramPlan[],
	measuredMs: number,
): Figures =>
	computeFigures(
		{
			programs: programs.map((plan) => ({
				plan,
				finishedAtMs: plan.arrivalMs + plan.lowerBoundMs,
			})),
			calls: [],
			promptTokens: 0,
			wastedTokens: 0,
			unusedCacheTokenSeconds: 0,
			endedAtMs: 0,
		},
		measuredMs,
	);

/** Exact counts, and every prefix cached on every engine: what balancing alone could reach. */
const runPerfectCache = (
	scenario: Scenario,
	programs: ProgramPlan[],
	seed: number,
): Figures =>
	computeFigures(
		runPolicy(
			{
				...scenario,
				routers: 1,
				model: {...scenario.model, perfectCache: true},
			},
			programs,
			{policy: new LeastInFlight(), seed},
		),
		scenario.arrivals.measuredMs,
	);

export type RunOptions = {
	seed: number;
	/** Runs only the policies whose name is in the list; all when absent. */
	policies?: readonly string[];
};

/** Runs all policies at all loads of a scenario with one seed. */
export const runScenario = (
	scenario: Scenario,
	{seed, policies}: RunOptions,
): Row[] => {
	const {name, loads, arrivals} = scenario;
	return loads.flatMap((load) => {
		const programs = drawWorkload({...scenario, load, seed});
		const key = {scenario: name, load, seed};
		const bound = computeLowerBound(programs, arrivals.measuredMs);
		const rows = [toRow({...key, policy: 'lower-bound'}, bound)];
		const perfect = runPerfectCache(scenario, programs, seed);
		rows.push(toRow({...key, policy: 'perfect-cache'}, perfect));
		for (const policy of createAllPolicies(scenario, load)) {
			if (!policies || policies.includes(policy.name)) {
				const run = runPolicy(scenario, programs, {policy, seed});
				const figures = computeFigures(run, arrivals.measuredMs);
				rows.push(toRow({...key, policy: policy.name}, figures));
			}
		}

		return rows;
	});
};
