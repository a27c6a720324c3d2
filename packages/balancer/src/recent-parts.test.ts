import {describe, expect, it} from 'vitest';
import {RecentParts} from './recent-parts.ts';

describe('RecentParts', () => {
	it('stays bounded and keeps what was used last', () => {
		const parts = new RecentParts();
		for (let part = 0; part < 2000; part++) {
			parts.note({id: `part-${part}`, tokens: 5}, 0);
			parts.note({id: 'kept', tokens: 7}, 0);
		}

		expect(parts.keptTokens('kept', 0)).toBe(7);
		expect(parts.keptTokens('part-0', 0)).toBe(0);
		expect(parts.keptTokens('part-1999', 0)).toBe(5);
	});

	it('knows how much of a growing part was read, also when an earlier turn comes again', () => {
		const parts = new RecentParts();
		parts.note({id: 'session', tokens: 900}, 0);
		parts.note({id: 'session', tokens: 400}, 0);
		expect(parts.keptTokens('session', 0)).toBe(900);
	});

	it('does not count on a part that the server may have evicted by now', () => {
		const parts = new RecentParts();
		parts.note({id: 'shared', tokens: 900}, 0);
		expect(parts.keptTokens('shared', 60_000)).toBe(0);
		parts.note({id: 'shared', tokens: 300}, 60_000);
		expect(parts.keptTokens('shared', 60_000)).toBe(300);
		expect(parts.ageMs('shared', 60_500)).toBe(500);
	});
});
