import type {Scenario} from '../scenario.ts';
import {consensusScenario} from './consensus.ts';
import {
	configurationScenario,
	engineMemoryScenario,
	fencingScenario,
	leaseScenario,
	programsScenario,
} from './model-scenarios.ts';
import {registrarLeaseScenario} from './registrar-lease.ts';

/** All scenarios. New scenarios must be added here. */
export const SCENARIOS: readonly Scenario[] = [
	consensusScenario,
	programsScenario,
	engineMemoryScenario,
	configurationScenario,
	leaseScenario,
	registrarLeaseScenario,
	fencingScenario,
];
