import {describe, expect, it} from 'vitest';
import {SoakFailureError} from '../scenario.ts';
import {
	configurationScenario,
	engineMemoryScenario,
	fencingScenario,
	leaseScenario,
	programsScenario,
} from './model-scenarios.ts';
import {registrarLeaseScenario} from './registrar-lease.ts';

/** Rounds of 100 models within which an injected fault must be detected. */
const FAULT_ROUNDS = 3;

describe.each([
	programsScenario,
	engineMemoryScenario,
	configurationScenario,
	leaseScenario,
	registrarLeaseScenario,
	fencingScenario,
])('scenario $name', (scenario) => {
	it('passes a round (failure: a state machine violates an invariant)', async () => {
		const summary = await scenario.runRound({seed: 1});
		expect(summary.models).toBe(100);
	});

	it.each(scenario.faults)(
		'detects the fault %s (failure: the check above cannot fail)',
		async (fault) => {
			const runRounds = async () => {
				for (let seed = 1; seed <= FAULT_ROUNDS; seed++) {
					await scenario.runRound({seed, fault});
				}
			};

			await expect(runRounds()).rejects.toThrow(SoakFailureError);
		},
	);
});
