import {type PolicySettings, readTuning} from '@marjoramcove/scheduler';
import type {Usage} from '../call-contracts.ts';

/**
 * Divides the time of a call at its engine by the estimate for a full batch on an engine of normal
 * speed; undefined when the usage shows no work.
 */
export const computeTimeRatio = (
	usage: Usage,
	engineMs: number,
	policy: PolicySettings,
): number | undefined => {
	const {prefillMsPerToken, stepMs} = readTuning(policy);
	const cachedTokens = usage.prompt_tokens_details?.cached_tokens ?? 0;
	const expectedMs =
		Math.max(0, usage.prompt_tokens - cachedTokens) * prefillMsPerToken +
		usage.completion_tokens * stepMs;
	return expectedMs > 0 ? engineMs / expectedMs : undefined;
};
