import {describe, expect, it} from 'vitest';
import {hasMergedHeads} from './has-merged-heads.ts';

describe('hasMergedHeads', () => {
	it('finds a status line in the reason phrase or in a value', () => {
		expect(
			hasMergedHeads({
				status: 503,
				statusText: 'Service UnHTTP/1.1 200 OK',
				headers: [],
			}),
		).toBe(true);
		expect(
			hasMergedHeads({status: 503, headers: [['X', 'HTTP/1.1 200 OK']]}),
		).toBe(true);
	});

	it('accepts heads that mention the protocol', () => {
		expect(
			hasMergedHeads({
				status: 200,
				statusText: 'OK',
				headers: [
					['Via', 'HTTP/1.1 proxy'],
					['X-Protocols', 'HTTP/1.1, HTTP/2'],
				],
			}),
		).toBe(false);
	});
});
