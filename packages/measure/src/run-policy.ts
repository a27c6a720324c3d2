import type {Policy} from './policy.ts';
import {RandomDraws} from './random-draws.ts';
import type {Scenario} from './scenarios.ts';
import {type RunRecord, Simulation} from './simulation.ts';
import {VirtualClock} from './virtual-clock.ts';
import type {ProgramPlan} from './workload.ts';

/** Simulates the given programs with one policy; `prepare` can schedule faults. */
export const runPolicy = (
	scenario: Scenario,
	programs: ProgramPlan[],
	{policy, seed}: {policy: Policy; seed: number},
	prepare?: (simulation: Simulation, clock: VirtualClock) => void,
): RunRecord => {
	const clock = new VirtualClock();
	const draws = new RandomDraws(seed + 1_000_003);
	const simulation = new Simulation(clock, programs, {
		...scenario,
		policy,
		random: draws.next,
	});
	prepare?.(simulation, clock);
	return simulation.run();
};
