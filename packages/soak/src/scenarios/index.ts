import type {Scenario} from '../scenario.ts';
import {consensusScenario} from './consensus.ts';
import {
	configurationScenario,
	engineMemoryScenario,
	fencingScenario,
	leaseScenario,
	programsScenario,
} from './machines.ts';
import {registrarLeaseScenario} from './registrar-lease.ts';

/** All scenarios; a new one is registered here. */
export const SCENARIOS: readonly Scenario[] = [
	consensusScenario,
	programsScenario,
	engineMemoryScenario,
	configurationScenario,
	leaseScenario,
	registrarLeaseScenario,
	fencingScenario,
];
