import {describe, expect, it} from 'vitest';
import {CommandClock} from './command-clock.ts';

const createClock = (wallMs: number) => {
	const time = {monotonicMs: 0};
	const clock = new CommandClock(
		() => time.monotonicMs,
		() => wallMs,
	);
	return {clock, time};
};

describe('CommandClock', () => {
	describe('nowMs', () => {
		it('uses the wall clock before the first command of a shard', () => {
			expect(createClock(1_000_000).clock.nowMs()).toBe(1_000_000);
		});

		it('advances the replicated time by the monotonic clock, so that a new owner whose wall clock is an hour ahead expires nothing', () => {
			const {clock, time} = createClock(1_000_000 + 3_600_000);
			clock.advanceTo(1_000_000);
			time.monotonicMs = 250;
			expect(clock.nowMs()).toBe(1_000_250);
		});

		it('does not go back when an older command is applied', () => {
			const {clock, time} = createClock(0);
			clock.advanceTo(5000);
			time.monotonicMs = 100;
			clock.advanceTo(5050);
			expect(clock.nowMs()).toBe(5100);
		});
	});
});
