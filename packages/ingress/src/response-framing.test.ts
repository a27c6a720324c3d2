import {describe, expect, it} from 'vitest';
import {findFraming} from './response-framing.ts';

describe('findFraming', () => {
	it('prefers chunks to a length', () => {
		expect(
			findFraming('GET', 200, [
				['Content-Length', '5'],
				['Transfer-Encoding', 'gzip, Chunked'],
			]),
		).toBe('chunks');
		expect(findFraming('GET', 200, [['content-length', '0']])).toBe('length');
	});

	it('finds that only the connection ends the body', () => {
		expect(findFraming('GET', 200, [])).toBe('connection');
		expect(findFraming('GET', 200, [['Transfer-Encoding', 'gzip']])).toBe(
			'connection',
		);
	});

	it('knows the responses without a body', () => {
		expect(findFraming('HEAD', 200, [['Content-Length', '5']])).toBe('none');
		expect(findFraming('GET', 204, [])).toBe('none');
		expect(findFraming('GET', 304, [['Content-Length', '5']])).toBe('none');
	});
});
