import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	type LeaseChoice,
	type LeaseFault,
	LeaseModel,
} from '@marjoramcove/soak';

const event = (weight: number, name: LeaseChoice['event']) => ({
	weight,
	arbitrary: fc.constant(name),
});

const choices = fc.array(
	fc.record<LeaseChoice>({
		event: fc.oneof(
			event(120, 'none'),
			event(2, 'commit'),
			event(1, 'freeze'),
			event(2, 'new-leader'),
			event(1, 'apply'),
		),
		randomPercent: fc.nat(99),
	}),
	{minLength: 200, maxLength: 500, size: 'max'},
);

const runs = {seed: 20_261_204, numRuns: 300, endOnFailure: true};

describe('configuration lease with a slow clock and suspended VMs', () => {
	it('expires within one lease duration of a change (failure: a daemon accepts work under an old configuration, I5)', () => {
		fc.assert(
			fc.property(choices, (sequence) => {
				expect(new LeaseModel().run(sequence)).toEqual([]);
			}),
			runs,
		);
	});

	it.each<[LeaseFault, string]>([
		['claim-unapplied-revision', 'works with an old revision after one lease'],
		['leader-forgets-predecessor', 'reported in force too early'],
		['lease-from-answer', 'works with an old revision after one lease'],
		['no-wall-clock', 'works with an old revision after one lease'],
	])(
		'detects the fault %s (failure: the check above cannot fail)',
		(fault, symptom) => {
			const found = fc.check(
				fc.property(
					choices,
					(sequence) => !new LeaseModel(fault).run(sequence).includes(symptom),
				),
				runs,
			);
			expect(String(found.errorInstance)).toContain('returning false');
		},
	);

	it('detects a lease without an allowance for clock drift (failure: a slow clock prolongs the lease)', () => {
		// The change is committed right after the answered heartbeat; all later heartbeats are lost.
		const step = (
			name: LeaseChoice['event'],
			randomPercent: number,
			count = 1,
		) =>
			Array.from({length: count}, (): LeaseChoice => ({
				event: name,
				randomPercent,
			}));
		const sequence = [
			...step('apply', 0),
			...step('none', 0, 10),
			...step('commit', 95),
			...step('none', 95, 250),
		];
		expect(new LeaseModel().run(sequence)).toEqual([]);
		expect(new LeaseModel('no-drift-allowance').run(sequence)).toContain(
			'works with an old revision after one lease',
		);
	});
});
