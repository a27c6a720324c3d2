import {describe, expect, it} from 'vitest';
import {PartCache} from './part-cache.ts';

const shared = {id: 'shared', tokens: 100};

describe('PartCache', () => {
	it('keeps what was read and generated for the next turn of a session', () => {
		const cache = new PartCache(1000);
		const first = cache.take([shared, {id: 's', tokens: 50}], 20)!;
		expect(first.missingTokens).toBe(150);
		first.release();
		const next = cache.take([shared, {id: 's', tokens: 90}], 20)!;
		expect(next.missingTokens).toBe(20);
	});

	it('counts nothing behind a part that it lacks', () => {
		const cache = new PartCache(1000);
		cache.take([shared, {id: 's', tokens: 50}], 1)!.release();
		const other = cache.take(
			[
				{id: 'other', tokens: 10},
				{id: 's', tokens: 50},
			],
			1,
		);
		expect(other!.missingTokens).toBe(60);
	});

	it('evicts what was used least recently, and nothing that a running request uses', () => {
		const cache = new PartCache(400);
		const running = cache.take([shared, {id: 'a', tokens: 90}], 10)!;
		cache.take([shared, {id: 'b', tokens: 90}], 10)!.release();
		cache.take([shared, {id: 'c', tokens: 190}], 10)!.release();
		const again = cache.take([shared, {id: 'b', tokens: 90}], 10)!;
		expect(again.missingTokens).toBe(90);
		again.release();
		expect(cache.take([shared, {id: 'd', tokens: 300}], 10)).toBeUndefined();
		running.release();
		expect(cache.take([shared, {id: 'd', tokens: 290}], 10)).toBeDefined();
	});
});
