import {asId, type ProgramId} from '@marjoramcove/types';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {FencingModel, type FencingStep} from '@marjoramcove/soak';
import {planReleases} from './index.ts';

const steps = fc.array(
	fc.record<FencingStep>({
		event: fc.oneof(
			{weight: 30, arbitrary: fc.constant('none' as const)},
			{weight: 1, arbitrary: fc.constant('change-leader' as const)},
			{weight: 1, arbitrary: fc.constant('restart-engine' as const)},
		),
		delay: fc.double({min: 0, max: 1, noNaN: true}),
		randomFraction: fc.double({min: 0, max: 1, noNaN: true}),
	}),
	{minLength: 50, maxLength: 300},
);

const runs = {seed: 20_261_204, numRuns: 200};

describe('fenced orders under lost, duplicate and delayed messages', () => {
	it.each([true, false])(
		'end in the state of the newest leader, checksFencing %s (failure: an old leader overwrites the state set by the new one)',
		(checksFencing) => {
			fc.assert(
				fc.property(steps, (sequence) => {
					expect(new FencingModel(checksFencing).run(sequence)).toEqual([]);
				}),
				runs,
			);
		},
	);

	it.each([
		['engine-forgets-fencing', true, 'old order after a new one'],
		['leader-ignores-lease', false, 'old order after a new one'],
		['leader-skips-wait', false, 'old order after a new one'],
		['leader-stops-reading', true, 'engine ends at'],
	] as const)(
		'detects the fault %s (failure: the check above cannot fail)',
		(fault, checksFencing, symptom) => {
			const found = fc.check(
				fc.property(steps, (sequence) =>
					new FencingModel(checksFencing, fault)
						.run(sequence)
						.every((problem) => !problem.startsWith(symptom)),
				),
				{...runs, endOnFailure: true},
			);
			expect(found.failed).toBe(true);
		},
	);
});

describe('planReleases', () => {
	it('releases each program that is not live, once (failure: ended programs keep engine memory)', () => {
		const held = ['p0-live', 'p0-ended', 'p0-ended'].map((id) => ({
			programId: asId<ProgramId>(id),
			tokens: 10,
		}));
		expect(planReleases(held, (programId) => programId === 'p0-live')).toEqual([
			'p0-ended',
		]);
	});
});
