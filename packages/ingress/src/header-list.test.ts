import {describe, expect, it} from 'vitest';
import {readRawHeaders, removeHopByHopHeaders} from './header-list.ts';

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
