import {describe, expect, it} from 'vitest';
import {PrefixCacheEstimate} from './prefix-cache-estimate.ts';

describe('PrefixCacheEstimate', () => {
	it('bounds the number of parts and evicts the least recently used', () => {
		const prefixCache = new PrefixCacheEstimate();
		for (let part = 0; part < 2000; part++) {
			prefixCache.record({id: `part-${part}`, tokens: 5}, 0);
			prefixCache.record({id: 'kept', tokens: 7}, 0);
		}

		expect(prefixCache.cachedTokens('kept', 0)).toBe(7);
		expect(prefixCache.cachedTokens('part-0', 0)).toBe(0);
		expect(prefixCache.cachedTokens('part-1999', 0)).toBe(5);
	});

	it('keeps the largest size of a growing part, also when an earlier turn is repeated', () => {
		const prefixCache = new PrefixCacheEstimate();
		prefixCache.record({id: 'session', tokens: 900}, 0);
		prefixCache.record({id: 'session', tokens: 400}, 0);
		expect(prefixCache.cachedTokens('session', 0)).toBe(900);
	});

	it('ignores a part that the server may have evicted', () => {
		const prefixCache = new PrefixCacheEstimate();
		prefixCache.record({id: 'shared', tokens: 900}, 0);
		expect(prefixCache.cachedTokens('shared', 60_000)).toBe(0);
		prefixCache.record({id: 'shared', tokens: 300}, 60_000);
		expect(prefixCache.cachedTokens('shared', 60_000)).toBe(300);
		expect(prefixCache.ageMs('shared', 60_500)).toBe(500);
	});
});
