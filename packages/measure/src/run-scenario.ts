import {LeastInFlight, RoundRobin, SessionSticky} from './baselines.ts';
import {computeMetrics, type Metrics} from './metrics.ts';
import {MarjoramcovePolicy, POLICY_PARTS} from './marjoramcove-policy.ts';
import type {Policy} from './policy.ts';
import {type Row, toRow} from './row.ts';
import {runPolicy} from './run-policy.ts';
import type {Scenario} from './scenarios.ts';
import {drawWorkload, type ProgramPlan} from './workload.ts';

/** Loads at which each part of the policy is disabled in turn. */
const ABLATION_LOADS = new Set([0.9, 1.1]);

/** Creates the policies that run in all scenarios: the Marjoramcove policy and the baselines. */
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

/** Computes the metrics of programs that each run alone on an idle fleet. */
const computeLowerBound = (
	programs: ProgramPlan[],
	measuredMs: number,
): Metrics =>
	computeMetrics(
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

/** Runs with exact load counts and every prefix cached on every engine, to show what load balancing alone could reach. */
const runPerfectCache = (
	scenario: Scenario,
	programs: ProgramPlan[],
	seed: number,
): Metrics =>
	computeMetrics(
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
	/** Names of the policies to run; all when absent. */
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
				const metrics = computeMetrics(run, arrivals.measuredMs);
				rows.push(toRow({...key, policy: policy.name}, metrics));
			}
		}

		return rows;
	});
};
