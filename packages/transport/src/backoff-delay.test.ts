import {describe, expect, it} from 'vitest';
import {backoffDelay} from './backoff-delay.ts';

describe('backoffDelay', () => {
	it('grows up to the maximum and not beyond it', () => {
		const options = {initialMs: 50, maximumMs: 2000};
		expect(backoffDelay(0, options, 0.999)).toBeLessThanOrEqual(50);
		expect(backoffDelay(3, options, 0.999)).toBeGreaterThan(300);
		expect(backoffDelay(1000, options, 0.999)).toBeLessThanOrEqual(2000);
	});

	it('spreads the delays of clients with the same number of failures', () => {
		const options = {initialMs: 50, maximumMs: 2000};
		expect(backoffDelay(5, options, 0.1)).toBeLessThan(
			backoffDelay(5, options, 0.9) / 4,
		);
	});
});
