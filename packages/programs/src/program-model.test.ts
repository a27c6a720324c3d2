import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	ProgramModel,
	type ProgramFault,
	type ProgramStepChoice,
	collectProblems,
} from '@marjoramcove/soak';

const choices = fc.array(
	fc.record<ProgramStepChoice>({
		action: fc.nat(99),
		pick: fc.nat(999),
		randomPercent: fc.nat(99),
	}),
	{minLength: 100, maxLength: 250, size: 'max'},
);

const runs = {seed: 20_261_204, numRuns: 150};

describe('programs under duplicated, delayed and reordered commands', () => {
	it('keeps turn order, history, budgets, verdicts and engine memory holds correct', () => {
		// Guards against violations of the safety invariants I2, I3, I6, I8 and I10.
		fc.assert(
			fc.property(choices, (sequence) => {
				expect(new ProgramModel().run(sequence)).toEqual([]);
			}),
			{...runs, endOnFailure: true},
		);
	});

	it.each<[ProgramFault, string]>([
		['append-history-twice', 'history differs'],
		['drop-carves', 'tokens exceeded'],
		['drop-records', 'accepted twice'],
		['drop-refusals', 'accepted after not-run was reported'],
		['forget-hold', 'engine memory without a hold'],
		['forget-open-call', 'accepted twice'],
		['free-unknown-usage', 'tokens exceeded'],
		['ignore-deadline', 'wall time exceeded'],
		['resend-after-unknown', 'ran twice'],
	])('detects the injected fault %s', (fault, symptom) => {
		// Guards against a model check that passes no matter what the state machine does.
		const found = fc.check(
			fc.property(
				choices,
				(sequence) =>
					!collectProblems(new ProgramModel(fault), sequence).includes(symptom),
			),
			{...runs, endOnFailure: true},
		);
		expect(String(found.errorInstance)).toContain('returning false');
	});
});
