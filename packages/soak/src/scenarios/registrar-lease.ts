import {
	type RegistrarLeaseChoice,
	RegistrarLeaseModel,
} from '../models/registrar-lease-model.ts';
import {
	REGISTRAR_LEASE_FAULTS,
	type RegistrarLeaseFault,
} from '../models/registrar-lease-processes.ts';
import {collectProblems} from '../models/collect-problems.ts';
import type {Scenario} from '../scenario.ts';
import {createRandomList, runModels} from './model-scenarios.ts';

const EVENTS: ReadonlyArray<RegistrarLeaseChoice['event']> = [
	'commit',
	'commit',
	'commit',
	'commit',
	'freeze',
	'suspend',
	'cut',
	'heal',
	'heal',
	'move',
	'join',
	'restart-registrar',
	'new-leader',
];

/** Random choices rarely reveal these faults; tests of the model use fixed choices. */
const RARE_FAULTS: ReadonlySet<RegistrarLeaseFault> = new Set([
	'no-drift-allowance',
	'ignore-registrars',
	'grant-before-registering',
]);

/**
 * Configuration leases granted by registrars: partitions, freezes, restarts, moves and new leaders.
 */
export const registrarLeaseScenario: Scenario = {
	name: 'registrar-lease',
	faults: REGISTRAR_LEASE_FAULTS.filter((fault) => !RARE_FAULTS.has(fault)),
	async runRound({seed, fault}) {
		return runModels(seed, (random) => {
			const choices = createRandomList(
				random,
				3000,
				(source): RegistrarLeaseChoice => ({
					event: source.chance(0.08) ? source.pick(EVENTS) : 'none',
					pick: source.integer(0, 99),
					randomPercent: source.integer(0, 99),
				}),
			);
			const model = new RegistrarLeaseModel(
				fault as RegistrarLeaseFault | undefined,
			);
			return {steps: choices.length, problems: collectProblems(model, choices)};
		});
	},
};
