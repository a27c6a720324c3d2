import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {
	type RegistrarLeaseChoice,
	type RegistrarLeaseFault,
	RegistrarLeaseModel,
} from '@marjoramcove/soak';

const event = (weight: number, name: RegistrarLeaseChoice['event']) => ({
	weight,
	arbitrary: fc.constant(name),
});

const choices = fc.array(
	fc.record<RegistrarLeaseChoice>({
		event: fc.oneof(
			event(600, 'none'),
			event(20, 'commit'),
			event(2, 'freeze'),
			event(2, 'suspend'),
			event(4, 'cut'),
			event(6, 'heal'),
			event(8, 'move'),
			event(12, 'join'),
			event(1, 'restart-registrar'),
			event(1, 'new-leader'),
		),
		pick: fc.nat(99),
		randomPercent: fc.nat(99),
	}),
	{minLength: 1000, maxLength: 2000, size: 'max'},
);

const steps = (
	event: RegistrarLeaseChoice['event'],
	{
		pick = 0,
		randomPercent = 1,
		count = 1,
	}: {pick?: number; randomPercent?: number; count?: number},
): RegistrarLeaseChoice[] =>
	Array.from({length: count}, (): RegistrarLeaseChoice => ({
		event,
		pick,
		randomPercent,
	}));

const runs = {seed: 20_261_204, numRuns: 120, endOnFailure: true};

describe('configuration leases through registrars', () => {
	it('expire within one lease duration of a change (failure: a daemon accepts work under an old configuration, I5)', () => {
		fc.assert(
			fc.property(choices, (sequence) => {
				expect(new RegistrarLeaseModel().run(sequence)).toEqual([]);
			}),
			runs,
		);
	});

	it.each<[RegistrarLeaseFault, string]>([
		['confirmed-from-answer', 'works with an old revision after one lease'],
		[
			'full-lease-from-old-confirmation',
			'works with an old revision after one lease',
		],
		['no-wall-clock', 'works with an old revision after one lease'],
		['confirm-without-round', 'works with an old revision after one lease'],
	])(
		'detects the fault %s (failure: the check above cannot fail)',
		(fault, symptom) => {
			const found = fc.check(
				fc.property(
					choices,
					(sequence) =>
						!new RegistrarLeaseModel(fault).run(sequence).includes(symptom),
				),
				runs,
			);
			expect(String(found.errorInstance)).toContain('returning false');
		},
	);

	it('detects a lease without an allowance for clock drift (failure: two slow clocks prolong the lease)', () => {
		// The change is committed right after a confirmation was used; all later messages are lost.
		const problems = Array.from({length: 40}, (_, wait) => {
			const sequence = [
				...steps('none', {count: 60 + wait}),
				...steps('commit', {randomPercent: 95}),
				...steps('none', {randomPercent: 95, count: 850}),
			];
			expect(new RegistrarLeaseModel().run(sequence)).toEqual([]);
			return new RegistrarLeaseModel('no-drift-allowance').run(sequence);
		});
		expect(problems.flat()).toContain(
			'works with an old revision after one lease',
		);
	});

	it('detects a leader that ignores registrars (failure: a daemon that joined behind a partition is overlooked)', () => {
		const sequence = [
			...steps('none', {count: 900}),
			// All daemons use the second registrar; a new one joins the first, which is cut off from the leader.
			...[0, 1, 2].flatMap((pick) => steps('move', {pick})),
			...steps('none', {count: 20}),
			...steps('cut', {randomPercent: 3}),
			...steps('join', {randomPercent: 2}),
			...steps('none', {count: 15}),
			...steps('commit', {}),
			...steps('none', {count: 200}),
		];
		expect(new RegistrarLeaseModel().run(sequence)).toEqual([]);
		expect(new RegistrarLeaseModel('ignore-registrars').run(sequence)).toEqual([
			'reported in force too early',
		]);
	});

	it('detects a registrar that grants a lease before it reports the daemon (failure: the leader overlooks a daemon)', () => {
		const sequence = [
			...steps('none', {count: 900}),
			...steps('join', {randomPercent: 2}),
			...steps('none', {count: 5}),
			// The new daemon freezes for almost a second, during which the others confirm the change.
			...steps('freeze', {pick: 5, randomPercent: 33}),
			...steps('commit', {}),
			...steps('none', {count: 200}),
		];
		expect(new RegistrarLeaseModel().run(sequence)).toEqual([]);
		expect(
			new RegistrarLeaseModel('grant-before-registering').run(sequence),
		).toEqual(['reported in force too early']);
	});
});
