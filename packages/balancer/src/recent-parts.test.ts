import {describe, expect, it} from 'vitest';
import {RecentParts} from './recent-parts.ts';

describe('RecentParts', () => {
	it('stays bounded and keeps what was used last', () => {
		const parts = new RecentParts();
		for (let part = 0; part < 2000; part++) {
			parts.note([
				{id: `part-${part}`, tokens: 5},
				{id: 'kept', tokens: 7},
			]);
		}

		expect(parts.keptTokens('kept')).toBe(7);
		expect(parts.keptTokens('part-0')).toBe(0);
		expect(parts.keptTokens('part-1999')).toBe(5);
	});

	it('knows how much of a growing part was read, also when an earlier turn comes again', () => {
		const parts = new RecentParts();
		parts.note([{id: 'session', tokens: 900}]);
		parts.note([{id: 'session', tokens: 400}]);
		expect(parts.keptTokens('session')).toBe(900);
	});
});
