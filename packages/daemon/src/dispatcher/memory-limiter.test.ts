import {setImmediate} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {MemoryLimiter} from './memory-limiter.ts';

const policy = {
	latencyWeight: 1,
	cacheWeight: 1,
	tuning: {runningCacheShare: 0.5},
};

const createSize = (promptTokens: number) => ({
	promptTokens,
	expectedCompletionTokens: 0,
});

/** Starts calls that run until `finish` is called. */
const startCalls = (limiter: MemoryLimiter) => {
	const running: string[] = [];
	const finishers = new Map<string, () => void>();
	const start = async (name: string, promptTokens: number) =>
		limiter.run(createSize(promptTokens), async () => {
			running.push(name);
			await new Promise<void>((resolve) => {
				finishers.set(name, resolve);
			});
		});
	return {
		running,
		start,
		finish(name: string) {
			finishers.get(name)!();
		},
	};
};

describe('MemoryLimiter', () => {
	describe('run', () => {
		it('delays calls that would evict the prefixes of paused programs, and keeps their order', async () => {
			const limiter = new MemoryLimiter(policy, () => 1000);
			const {running, start, finish} = startCalls(limiter);
			const calls = [start('a', 400), start('large', 400), start('b', 50)];
			await setImmediate();
			expect(running).toEqual(['a']);
			finish('a');
			await setImmediate();
			expect(running).toEqual(['a', 'large', 'b']);
			finish('large');
			finish('b');
			await Promise.all(calls);
			expect(limiter.inFlightTokens).toBe(0);
		});

		it('admits any call to an idle engine, so that a call larger than the share does not wait forever', async () => {
			const limiter = new MemoryLimiter(policy, () => 1000);
			const {running, start, finish} = startCalls(limiter);
			const call = start('huge', 5000);
			await setImmediate();
			expect(running).toEqual(['huge']);
			finish('huge');
			await call;
		});

		it('frees the capacity of a call that fails', async () => {
			const limiter = new MemoryLimiter(policy, () => 1000);
			await expect(
				limiter.run(createSize(500), async () => {
					throw new Error('engine gone');
				}),
			).rejects.toThrow('engine gone');
			expect(limiter.inFlightTokens).toBe(0);
		});
	});
});
