import {
	type ConfigurationChoice,
	ConfigurationModel,
	CONFIGURATION_FAULTS,
	type ConfigurationFault,
} from '../models/configuration-model.ts';
import {
	FENCING_FAULTS,
	type FencingFault,
	FencingModel,
	type FencingStep,
} from '../models/fencing-model.ts';
import {
	LEASE_FAULTS,
	type LeaseChoice,
	type LeaseFault,
	LeaseModel,
} from '../models/lease-model.ts';
import {PROGRAM_FAULTS, type ProgramFault} from '../models/program-faults.ts';
import {ProgramModel, type ProgramStepChoice} from '../models/program-model.ts';
import {collectProblems} from '../models/collect-problems.ts';
import {RandomSource} from '../random-source.ts';
import {
	type RoundSummary,
	type Scenario,
	SoakFailureError,
} from '../scenario.ts';

/** Models per round; a round takes a few seconds. */
const MODELS_PER_ROUND = 100;

const createChoice = (
	random: RandomSource,
): ConfigurationChoice & ProgramStepChoice => ({
	action: random.integer(0, 99),
	pick: random.integer(0, 999),
	randomPercent: random.integer(0, 99),
});

/** Creates a list of random length, from a quarter of `max` to `max` items. */
export const createRandomList = <Item>(
	random: RandomSource,
	max: number,
	create: (random: RandomSource) => Item,
): Item[] =>
	Array.from({length: random.integer(max / 4, max)}, () => create(random));

/**
 * Runs the models of one round.
 *
 * @throws SoakFailureError for the first model that reports problems.
 */
export const runModels = (
	seed: number,
	runModel: (random: RandomSource) => {steps: number; problems: string[]},
): RoundSummary => {
	const random = new RandomSource(seed);
	let steps = 0;
	for (let model = 0; model < MODELS_PER_ROUND; model++) {
		const result = runModel(random);
		steps += result.steps;
		if (result.problems.length > 0) {
			throw new SoakFailureError(result.problems.join('; '), [
				`model ${model} of the round`,
			]);
		}
	}

	return {models: MODELS_PER_ROUND, steps};
};

/** Programs: checks order, history, budgets, verdicts, sub-agents and holds. */
export const programsScenario: Scenario = {
	name: 'programs',
	faults: PROGRAM_FAULTS,
	async runRound({seed, fault}) {
		return runModels(seed, (random) => {
			const choices = createRandomList(random, 400, createChoice);
			const model = new ProgramModel(fault as ProgramFault | undefined);
			return {steps: choices.length, problems: collectProblems(model, choices)};
		});
	},
};

/** Engine memory: most choices end programs, change owners, retry calls and confirm releases. */
export const engineMemoryScenario: Scenario = {
	name: 'engine-memory',
	faults: ['forget-hold'],
	async runRound({seed, fault}) {
		return runModels(seed, (random) => {
			const choices = createRandomList(random, 400, (source) => ({
				...createChoice(source),
				action: source.chance(0.4)
					? source.integer(20, 49)
					: source.integer(56, 99),
			}));
			const model = new ProgramModel(fault as ProgramFault | undefined);
			return {steps: choices.length, problems: collectProblems(model, choices)};
		});
	},
};

/** Configuration: concurrent operators, owner changes and views that lag behind. */
export const configurationScenario: Scenario = {
	name: 'configuration',
	faults: CONFIGURATION_FAULTS,
	async runRound({seed, fault}) {
		return runModels(seed, (random) => {
			const choices = createRandomList(random, 600, createChoice);
			const model = new ConfigurationModel(
				fault as ConfigurationFault | undefined,
			);
			return {steps: choices.length, problems: collectProblems(model, choices)};
		});
	},
};

const LEASE_EVENTS: ReadonlyArray<LeaseChoice['event']> = [
	'commit',
	'freeze',
	'new-leader',
	'apply',
];

/** Configuration lease: a slow clock, suspended VMs, lost heartbeats, new leaders. */
export const leaseScenario: Scenario = {
	name: 'lease',
	// Random choices rarely reveal a missing drift allowance; a test of the model uses fixed choices.
	faults: LEASE_FAULTS.filter((fault) => fault !== 'no-drift-allowance'),
	async runRound({seed, fault}) {
		return runModels(seed, (random) => {
			const choices = createRandomList(random, 2000, (source): LeaseChoice => ({
				event: source.chance(0.03) ? source.pick(LEASE_EVENTS) : 'none',
				randomPercent: source.integer(0, 99),
			}));
			const model = new LeaseModel(fault as LeaseFault | undefined);
			return {steps: choices.length, problems: collectProblems(model, choices)};
		});
	},
};

/** Fenced orders to an engine that either checks or ignores fencing numbers. */
export const fencingScenario: Scenario = {
	name: 'fencing',
	faults: FENCING_FAULTS,
	async runRound({seed, fault}) {
		return runModels(seed, (random) => {
			const checksFencing =
				fault === 'engine-forgets-fencing' || random.chance(0.5);
			const steps = createRandomList(random, 600, (source): FencingStep => ({
				event: source.chance(0.06)
					? source.pick(['change-leader', 'restart-engine'] as const)
					: ('none' as const),
				delay: source.uniform(),
				randomFraction: source.uniform(),
			}));
			const model = new FencingModel(
				checksFencing,
				fault as FencingFault | undefined,
			);
			return {steps: steps.length, problems: model.run(steps)};
		});
	},
};
