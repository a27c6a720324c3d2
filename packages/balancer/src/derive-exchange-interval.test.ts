import {TARGET_DAEMONS} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {deriveExchangeIntervalMs} from './derive-exchange-interval.ts';

/** Age after which a relay discards the report of a daemon. */
const REPORT_MAX_AGE_MS = 1000;

describe('deriveExchangeIntervalMs', () => {
	it('keeps small deployments up to date', () => {
		expect(deriveExchangeIntervalMs(1)).toBe(100);
		expect(deriveExchangeIntervalMs(50)).toBe(100);
	});

	it('limits the reports per second of a deployment', () => {
		// Guards against control daemons whose load grows with each entry daemon.
		expect((200 * 1000) / deriveExchangeIntervalMs(200)).toBeLessThanOrEqual(
			500,
		);
	});

	it('never lets a report expire at its relay because the next one is lost', () => {
		expect(2 * deriveExchangeIntervalMs(TARGET_DAEMONS)).toBeLessThan(
			REPORT_MAX_AGE_MS,
		);
	});
});
