import {describe, expect, it} from 'vitest';
import {PartCache} from './part-cache.ts';

const shared = {id: 'shared', tokens: 100};

describe('PartCache', () => {
	it('keeps prompt and generated tokens cached for the next turn of a session', () => {
		const cache = new PartCache(1000);
		const first = cache.reserve([shared, {id: 's', tokens: 50}], 20)!;
		expect(first.uncachedTokens).toBe(150);
		first.release();
		const next = cache.reserve([shared, {id: 's', tokens: 90}], 20)!;
		expect(next.uncachedTokens).toBe(20);
	});

	it('does not count a part as cached after an uncached part', () => {
		const cache = new PartCache(1000);
		cache.reserve([shared, {id: 's', tokens: 50}], 1)!.release();
		const other = cache.reserve(
			[
				{id: 'other', tokens: 10},
				{id: 's', tokens: 50},
			],
			1,
		);
		expect(other!.uncachedTokens).toBe(60);
	});

	it('evicts the least recently used parts, but none that a running request uses', () => {
		const cache = new PartCache(400);
		const running = cache.reserve([shared, {id: 'a', tokens: 90}], 10)!;
		cache.reserve([shared, {id: 'b', tokens: 90}], 10)!.release();
		cache.reserve([shared, {id: 'c', tokens: 190}], 10)!.release();
		const again = cache.reserve([shared, {id: 'b', tokens: 90}], 10)!;
		expect(again.uncachedTokens).toBe(90);
		again.release();
		expect(cache.reserve([shared, {id: 'd', tokens: 300}], 10)).toBeUndefined();
		running.release();
		expect(cache.reserve([shared, {id: 'd', tokens: 290}], 10)).toBeDefined();
	});
});
