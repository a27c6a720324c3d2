import {asId, type UpstreamId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {computeTimeRatio} from '../dispatcher/compute-time-ratio.ts';
import {ObservedSpeeds} from './observed-speeds.ts';

const slowEngine = asId<UpstreamId>('engine-slow');
const normalEngine = asId<UpstreamId>('engine-normal');

describe('ObservedSpeeds', () => {
	it('reports the slow engine of a model and removes it when it is no longer registered', () => {
		// Guards against routing to a slow engine, and against state that is kept for removed engines.
		const speeds = new ObservedSpeeds();
		for (let call = 0; call < 20; call++) {
			speeds.record({upstreamId: normalEngine, model: 'm', ratio: 1});
			speeds.record({upstreamId: slowEngine, model: 'm', ratio: 4});
		}

		expect(speeds.read('m', normalEngine)).toBe(1);
		expect(speeds.read('m', slowEngine)).toBeLessThan(0.5);
		expect(speeds.read('other', slowEngine)).toBe(1);
		speeds.retainOnly(new Set([normalEngine]));
		expect(speeds.read('m', slowEngine)).toBe(1);
	});

	describe('computeTimeRatio', () => {
		it('excludes cached tokens from the expected time', () => {
			// Guards against engines that appear fast because their prompts are cached.
			const policy = {
				latencyWeight: 1,
				cacheWeight: 1,
				tuning: {prefillMsPerToken: 0.1, stepMs: 20},
			};
			const usage = {
				prompt_tokens: 5000,
				completion_tokens: 10,
				total_tokens: 5010,
				prompt_tokens_details: {cached_tokens: 4000},
			};
			expect(computeTimeRatio(usage, 600, policy)).toBe(2);
			const empty = {prompt_tokens: 0, completion_tokens: 0, total_tokens: 0};
			expect(computeTimeRatio(empty, 600, policy)).toBeUndefined();
		});
	});
});
