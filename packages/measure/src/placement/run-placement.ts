import {RandomDraws} from '../random-draws.ts';
import type {Row} from '../row.ts';
import {drawServers, meanCapacity, type ServerSetKind} from './draw-servers.ts';
import {
	CALLS_PER_PROGRAM,
	Play,
	type PlayResult,
	type PlayScenario,
} from './play.ts';
import {
	LoadPolicy,
	type PlayPolicy,
	SpeedPolicy,
	TwoChoicesPolicy,
} from './play-policies.ts';

/** Columns of the results table. */
export const PLACEMENT_COLUMNS = [
	'scenario',
	'load',
	'policy',
	'programs',
	'failedPrograms',
	'errorsPer1000',
	'programP50Ms',
	'programP95Ms',
	'faultyShare',
	'unevenShare',
];

const SCENARIOS: readonly PlayScenario[] = [
	{
		name: 'plain',
		isStream: false,
		servers: 12,
		slots: 6,
		entries: 8,
		times: {usualMs: 60, readMs: 0, chunks: 1},
	},
	{
		name: 'stream',
		isStream: true,
		servers: 12,
		slots: 12,
		entries: 8,
		times: {usualMs: 500, readMs: 100, chunks: 40},
	},
];

const SETS: readonly ServerSetKind[] = [
	'equal',
	'uneven',
	'slowing',
	'flapping',
];
const LOADS = [0.6, 0.8, 0.95];

const LENGTH_MS = 40_000;

const playOnce = (
	scenario: PlayScenario,
	set: ServerSetKind,
	{
		load,
		policy,
		seed,
		lengthMs,
	}: {load: number; policy: PlayPolicy; seed: number; lengthMs: number},
): PlayResult => {
	const drawn = drawServers(
		set,
		scenario.servers,
		lengthMs,
		new RandomDraws(seed),
	);
	const capacity = meanCapacity(drawn, {
		slots: scenario.slots,
		usualMs: scenario.times.usualMs,
		endMs: lengthMs,
	});
	return new Play(scenario, drawn, {policy, seed}).run(
		(load * capacity) / CALLS_PER_PROGRAM,
		lengthMs,
	);
};

const createPolicies = (
	seed: number,
	names: readonly string[] | undefined,
): PlayPolicy[] =>
	[
		new SpeedPolicy(),
		new LoadPolicy(),
		new TwoChoicesPolicy(new RandomDraws(seed + 2).next),
	].filter(({name}) => names?.includes(name) ?? true);

/**
 * Plays randomly drawn sets of equal, uneven, slowing and flapping servers with each policy.
 *
 * @param options.loads - offered work as share of the mean capacity.
 * @example
 * ```ts
 * const rows = runPlacement({seed: 1, loads: [0.8], policies: ['speed', 'load']});
 * ```
 */
export const runPlacement = ({
	seed,
	loads = LOADS,
	policies,
	sets = SETS,
	lengthMs = LENGTH_MS,
}: {
	seed: number;
	loads?: readonly number[];
	policies?: readonly string[];
	sets?: readonly ServerSetKind[];
	lengthMs?: number;
}): Row[] => {
	const rows: Row[] = [];
	for (const scenario of SCENARIOS) {
		for (const set of sets) {
			for (const load of loads) {
				for (const policy of createPolicies(seed, policies)) {
					const result = playOnce(scenario, set, {
						load,
						policy,
						seed,
						lengthMs,
					});
					rows.push({
						scenario: `${scenario.name} ${set}`,
						load,
						policy: policy.name,
						seed,
						...result,
					});
				}
			}
		}
	}

	return rows;
};
