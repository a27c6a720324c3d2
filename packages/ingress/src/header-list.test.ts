import {describe, expect, it} from 'vitest';
import {
	findUnanimousHeader,
	readRawHeaders,
	removeHopByHopHeaders,
} from './header-list.ts';

describe('findUnanimousHeader', () => {
	it('returns a value only if all occurrences agree on it', () => {
		expect(findUnanimousHeader([], 'x-id')).toBeUndefined();
		expect(
			findUnanimousHeader(
				[
					['X-Id', 'a'],
					['x-id', 'a'],
				],
				'x-id',
			),
		).toBe('a');
		expect(
			findUnanimousHeader(
				[
					['X-Id', 'a'],
					['X-Id', 'b'],
				],
				'x-id',
			),
		).toBeUndefined();
	});
});

describe('removeHopByHopHeaders', () => {
	it('removes hop-by-hop headers, including those that Connection lists', () => {
		const headers = readRawHeaders([
			'Connection',
			'close, X-Hop',
			'X-Hop',
			'1',
			'Transfer-Encoding',
			'chunked',
			'X-Kept',
			'2',
		]);
		expect(removeHopByHopHeaders(headers)).toEqual([['X-Kept', '2']]);
	});
});
