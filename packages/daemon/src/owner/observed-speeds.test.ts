import {asId, type UpstreamId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {observeSpeed} from '../dispatcher/observe-speed.ts';
import {ObservedSpeeds} from './observed-speeds.ts';

const slow = asId<UpstreamId>('engine-slow');
const normal = asId<UpstreamId>('engine-normal');

describe('ObservedSpeeds', () => {
	it('shows the slow engine of a model and forgets it with its registration', () => {
		// Guards against work that goes on to a slow engine, and against memory for engines that are gone.
		const speeds = new ObservedSpeeds();
		for (let call = 0; call < 20; call++) {
			speeds.record({upstreamId: normal, model: 'm', ratio: 1});
			speeds.record({upstreamId: slow, model: 'm', ratio: 4});
		}

		expect(speeds.read('m', normal)).toBe(1);
		expect(speeds.read('m', slow)).toBeLessThan(0.5);
		expect(speeds.read('other', slow)).toBe(1);
		speeds.keep(new Set([normal]));
		expect(speeds.read('m', slow)).toBe(1);
	});

	describe('observeSpeed', () => {
		it('leaves cached tokens out of the expected time', () => {
			// Guards against engines that look fast because their prompts are cached.
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
			expect(observeSpeed(usage, 600, policy)).toBe(2);
			const empty = {prompt_tokens: 0, completion_tokens: 0, total_tokens: 0};
			expect(observeSpeed(empty, 600, policy)).toBeUndefined();
		});
	});
});
