import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {type AnswerFault, AnswerModel} from './answer-model.fixture.ts';

const CHOICES = 4000;

/** Problems of the first run that finds one; the seed is enough to repeat it. */
const runModels = async (runs: number, fault?: AnswerFault) => {
	for (let seed = 1; seed <= runs; seed++) {
		const choices = fc.sample(fc.nat(99), {seed, numRuns: CHOICES});
		let next = 0;
		const luck = () => choices[next++ % CHOICES]!;
		const problems = await new AnswerModel(luck, fault).run();
		if (problems.length > 0) {
			return {seed, problems};
		}
	}

	return undefined;
};

describe('answers under faults of links, engines and callers', () => {
	it('gives each caller exactly the recorded answer of its own call (failure: I4 breaks)', async () => {
		expect(await runModels(200)).toBeUndefined();
	});

	const faults: AnswerFault[] = [
		'ignore-restart',
		'mix-answers',
		'resume-too-far',
		'renumber-after-loss',
		'final-of-other-attempt',
	];
	for (const fault of faults) {
		it(`detects the fault ${fault} (failure: the check above cannot fail)`, async () => {
			expect(await runModels(100, fault)).toBeDefined();
		});
	}
});
