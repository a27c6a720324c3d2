import {describe, expect, it} from 'vitest';
import {PartPopularity} from './part-popularity.ts';

describe('PartPopularity', () => {
	it('takes a part for common when several programs sent it, not one program often', () => {
		const popularity = new PartPopularity();
		for (let turn = 0; turn < 10; turn++) {
			popularity.note('p1', ['system', 'own']);
		}

		expect(popularity.isCommon('system')).toBe(false);
		popularity.note('p2', ['system']);
		expect(popularity.isCommon('system')).toBe(true);
		expect(popularity.isCommon('own')).toBe(false);
	});

	it('stays bounded', () => {
		const popularity = new PartPopularity();
		for (const program of ['p1', 'p2', 'p3']) {
			popularity.note(program, ['old']);
		}

		for (let part = 0; part < 5000; part++) {
			popularity.note('p4', [`part-${part}`]);
		}

		expect(popularity.isCommon('old')).toBe(false);
	});
});
