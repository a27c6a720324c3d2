import {setImmediate} from 'node:timers/promises';
import {describe, expect, it} from 'vitest';
import {MemoryGate} from './memory-gate.ts';

const policy = {
	latencyWeight: 1,
	cacheWeight: 1,
	tuning: {runningCacheShare: 0.5},
};

const sizeOf = (promptTokens: number) => ({
	promptTokens,
	expectedCompletionTokens: 0,
});

/** Starts calls that run until they are finished by hand. */
const startCalls = (gate: MemoryGate) => {
	const running: string[] = [];
	const finishers = new Map<string, () => void>();
	const start = async (name: string, promptTokens: number) =>
		gate.run(sizeOf(promptTokens), async () => {
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

describe('MemoryGate', () => {
	describe('run', () => {
		it('holds calls back that would evict the prefixes of paused programs, and keeps their order', async () => {
			const gate = new MemoryGate(policy, () => 1000);
			const {running, start, finish} = startCalls(gate);
			const calls = [start('a', 400), start('large', 400), start('b', 50)];
			await setImmediate();
			expect(running).toEqual(['a']);
			finish('a');
			await setImmediate();
			expect(running).toEqual(['a', 'large', 'b']);
			finish('large');
			finish('b');
			await Promise.all(calls);
			expect(gate.inFlightTokens).toBe(0);
		});

		it('lets any call into an idle engine, so that a call larger than the share does not wait for ever', async () => {
			const gate = new MemoryGate(policy, () => 1000);
			const {running, start, finish} = startCalls(gate);
			const call = start('huge', 5000);
			await setImmediate();
			expect(running).toEqual(['huge']);
			finish('huge');
			await call;
		});

		it('frees the room of a call that fails', async () => {
			const gate = new MemoryGate(policy, () => 1000);
			await expect(
				gate.run(sizeOf(500), async () => {
					throw new Error('engine gone');
				}),
			).rejects.toThrow('engine gone');
			expect(gate.inFlightTokens).toBe(0);
		});
	});
});
