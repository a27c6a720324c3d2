import {describe, expect, it} from 'vitest';
import {deriveReplication, deriveTiming} from './derive-timing.ts';

describe('deriveTiming', () => {
	it('finishes the drain before SIGKILL but after callers with stale addresses have moved on', () => {
		for (const stopGraceMs of [3000, 8000, 30_000]) {
			const {addressTtlMs, entryDrainMs, stopDeadlineMs} = deriveTiming({
				stopGraceMs,
				addressTtlMaxMs: 5000,
			});
			expect(stopDeadlineMs).toBeLessThan(stopGraceMs);
			expect(entryDrainMs).toBeLessThan(stopDeadlineMs);
			expect(addressTtlMs * 3).toBeLessThan(entryDrainMs);
		}
	});

	it('leaves requests in progress nearly all of a short grace', () => {
		// Guards against responses that a stop cuts although their servers would have finished in time.
		for (const stopGraceMs of [1000, 3000, 4000, 8000, 30_000]) {
			const {stopDeadlineMs} = deriveTiming({
				stopGraceMs,
				addressTtlMaxMs: 5000,
			});
			expect(stopDeadlineMs).toBeGreaterThanOrEqual((stopGraceMs * 5) / 6);
			expect(stopDeadlineMs).toBeLessThan(stopGraceMs);
		}
	});

	it('respects the maximum address lifetime of the platform', () => {
		const {addressTtlMs} = deriveTiming({
			stopGraceMs: 30_000,
			addressTtlMaxMs: 500,
		});
		expect(addressTtlMs).toBe(500);
	});
});

describe('deriveReplication', () => {
	it('keeps a majority if the given number of disks is lost', () => {
		for (const lostDisks of [1, 2, 3]) {
			const {factor} = deriveReplication({lostDisks});
			expect(factor - lostDisks).toBeGreaterThan(factor / 2);
		}
	});
});
