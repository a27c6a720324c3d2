import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	type ConfigurationChoice,
	type ConfigurationFault,
	ConfigurationModel,
	collectProblems,
} from '@marjoramcove/soak';

const choices = fc.array(
	fc.record<ConfigurationChoice>({
		action: fc.nat(99),
		pick: fc.nat(999),
		randomPercent: fc.nat(99),
	}),
	{minLength: 100, maxLength: 300, size: 'max'},
);

const runs = {seed: 20_261_204, numRuns: 150, endOnFailure: true};

const findProblems = (
	sequence: ConfigurationChoice[],
	fault?: ConfigurationFault,
): string[] => collectProblems(new ConfigurationModel(fault), sequence);

describe('configuration under concurrent operators', () => {
	it('has one outcome per operation and views whose revision never decreases (failure: I5 or I7 is violated)', () => {
		fc.assert(
			fc.property(choices, (sequence) => {
				expect(findProblems(sequence)).toEqual([]);
			}),
			runs,
		);
	});

	it.each<[ConfigurationFault, string]>([
		['accept-stale-revision', 'two changes won on one base revision'],
		['forget-fencing', 'fencing number reused'],
		['forget-operations', 'outcome of an operation changed'],
		['lose-change', 'changes-lead-to-hash'],
		['lose-update', 'resources differ'],
		['view-goes-back', 'view went back'],
	])(
		'detects the fault %s (failure: the check above cannot fail)',
		(fault, symptom) => {
			const found = fc.check(
				fc.property(
					choices,
					(sequence) => !findProblems(sequence, fault).includes(symptom),
				),
				runs,
			);
			expect(String(found.errorInstance)).toContain('returning false');
		},
	);
});
