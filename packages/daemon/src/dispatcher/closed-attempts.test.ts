import {describe, expect, it} from 'vitest';
import {
	ClosedAttempts,
	LONGEST_OPERATION_TIMEOUT_MS,
} from './closed-attempts.ts';

const sweepIntervalMs = 5000;

const sweepRepeatedly = (closed: ClosedAttempts, count: number) => {
	for (let sweep = 0; sweep < count; sweep++) {
		closed.sweep();
	}
};

describe('ClosedAttempts', () => {
	describe('non-idempotent attempts', () => {
		it('keeps a discarded attempt for longer than any operation may take, so that its late grant is refused', () => {
			const closed = new ClosedAttempts(sweepIntervalMs);
			closed.close('a', 'discarded', false);
			sweepRepeatedly(closed, LONGEST_OPERATION_TIMEOUT_MS / sweepIntervalMs);
			expect(closed.statusOf('a')).toBe('discarded');
		});

		it('counts only running time, so that one sweep after a freeze of any length removes nothing', () => {
			const closed = new ClosedAttempts(sweepIntervalMs);
			closed.close('a', 'discarded', false);
			closed.sweep();
			expect(closed.statusOf('a')).toBe('discarded');
		});
	});

	describe('idempotent attempts', () => {
		it('removes an idempotent attempt after its retention, so that memory stays bounded', () => {
			const closed = new ClosedAttempts(sweepIntervalMs);
			closed.close('a', 'settled', true);
			sweepRepeatedly(closed, 12);
			expect(closed.size).toBe(0);
		});
	});
});
