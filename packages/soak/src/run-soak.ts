import {
	type RoundSummary,
	type Scenario,
	SoakFailureError,
} from './scenario.ts';

/** Settings of a soak run. */
export type SoakOptions = {
	seed: number;
	/** Duration in real time; at least one round of each scenario runs. */
	minutes: number;
	scenarios: readonly Scenario[];
	fault?: string;
	/** Index of the first round. A failure report names its round, which can then be repeated alone. */
	firstRound?: number;
	/** Maximum number of rounds per scenario. */
	rounds?: number;
	print: (line: string) => void;
};

/** Derives the seed of a round, so that a round can run without the rounds before it. */
const deriveRoundSeed = (seed: number, round: number) =>
	(seed * 1_000_003 + round * 7919) % 2 ** 31;

const addCounts = (total: RoundSummary, round: RoundSummary) => {
	for (const [name, count] of Object.entries(round)) {
		total[name] = (total[name] ?? 0) + count;
	}
};

const printFailure = (
	options: SoakOptions,
	scenario: Scenario,
	round: number,
	error: unknown,
) => {
	const {print, seed, fault} = options;
	const isFailedCheck = error instanceof SoakFailureError;
	if (isFailedCheck) {
		for (const event of error.events) {
			print(`  ${event}`);
		}
	}

	print(
		`${isFailedCheck ? 'failed' : 'broken'}: scenario ${scenario.name}, seed ${seed}, round ${round}: ${error instanceof Error ? error.message : String(error)}`,
	);
	print(
		`repeat: npm run soak -- --seed ${seed} --scenario ${scenario.name} --first-round ${round} --rounds 1${fault === undefined ? '' : ` --fault ${fault}`}`,
	);
};

/**
 * Runs rounds of all scenarios in turn until the duration has elapsed or a round fails.
 *
 * @returns whether all rounds passed.
 * @example
 * ```ts
 * const isPassed = await runSoak({seed: 1, minutes: 0.5, scenarios: SCENARIOS, print: console.log});
 * ```
 */
export const runSoak = async (options: SoakOptions): Promise<boolean> => {
	const {seed, minutes, scenarios, fault, print} = options;
	const firstRound = options.firstRound ?? 0;
	const lastRound = firstRound + (options.rounds ?? Number.MAX_SAFE_INTEGER);
	const endMs = performance.now() + minutes * 60_000;
	const totals = new Map(
		scenarios.map((scenario) => [scenario.name, {rounds: 0}]),
	);
	for (let round = firstRound; round < lastRound; round++) {
		for (const scenario of scenarios) {
			try {
				const summary = await scenario.runRound({
					seed: deriveRoundSeed(seed, round),
					fault,
				});
				addCounts(totals.get(scenario.name)!, {...summary, rounds: 1});
			} catch (error) {
				printFailure(options, scenario, round, error);
				return false;
			}
		}

		if (performance.now() >= endMs) {
			break;
		}
	}

	print(`passed: seed ${seed}`);
	for (const [name, total] of totals) {
		const counts = Object.entries(total).toSorted(([a], [b]) =>
			a.localeCompare(b),
		);
		print(
			`${name}: ${counts.map(([key, count]) => `${key}=${count}`).join(' ')}`,
		);
	}

	return true;
};
