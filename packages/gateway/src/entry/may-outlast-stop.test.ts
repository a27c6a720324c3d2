import {describe, expect, it} from 'vitest';
import {mayOutlastStop} from './may-outlast-stop.ts';

describe('mayOutlastStop', () => {
	it('never refuses a request of a daemon that is not draining', () => {
		expect(mayOutlastStop(Infinity, undefined)).toBe(false);
	});

	describe('of a draining daemon', () => {
		const STOP_AT_MS = 7300;

		it('accepts a request whose deadline is well before the stop', () => {
			expect(mayOutlastStop(4000, STOP_AT_MS)).toBe(false);
		});

		it('refuses a request whose response may be cut by the stop', () => {
			// Guards against requests that are accepted late in a drain and end without a response.
			expect(mayOutlastStop(STOP_AT_MS + 1, STOP_AT_MS)).toBe(true);
		});

		it('leaves time to send the response to a request that reaches its deadline', () => {
			expect(mayOutlastStop(STOP_AT_MS - 1, STOP_AT_MS)).toBe(true);
		});
	});
});
