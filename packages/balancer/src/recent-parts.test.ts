import {describe, expect, it} from 'vitest';
import {RecentParts} from './recent-parts.ts';

describe('RecentParts', () => {
	it('stays bounded and keeps what was used last', () => {
		const parts = new RecentParts();
		parts.note(['kept']);
		for (let part = 0; part < 2000; part++) {
			parts.note([`part-${part}`, 'kept']);
		}

		expect(parts.has('kept')).toBe(true);
		expect(parts.has('part-0')).toBe(false);
		expect(parts.has('part-1999')).toBe(true);
	});
});
