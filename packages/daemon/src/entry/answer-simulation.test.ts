import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	type AnswerFault,
	AnswerSimulation,
} from './answer-simulation.fixture.ts';

const DRAWS_PER_RUN = 4000;

/** Returns the seed and the problems of the first run that finds any; the seed alone reproduces the run. */
const runSimulations = async (runs: number, fault?: AnswerFault) => {
	for (let seed = 1; seed <= runs; seed++) {
		const draws = fc.sample(fc.nat(99), {seed, numRuns: DRAWS_PER_RUN});
		let next = 0;
		const drawPercent = () => draws[next++ % DRAWS_PER_RUN]!;
		const problems = await new AnswerSimulation(drawPercent, fault).run();
		if (problems.length > 0) {
			return {seed, problems};
		}
	}

	return undefined;
};

describe('answers when links, engines and callers fail', () => {
	it('gives each caller exactly the recorded answer of its own call (failure: invariant I4 is violated)', async () => {
		expect(await runSimulations(200)).toBeUndefined();
	});

	const faults: AnswerFault[] = [
		'ignore-restart',
		'mix-answers',
		'resume-too-far',
		'renumber-after-loss',
		'final-of-other-attempt',
	];
	for (const fault of faults) {
		it(`detects the injected fault ${fault} (failure: the test above cannot fail)`, async () => {
			expect(await runSimulations(100, fault)).toBeDefined();
		});
	}
});
