import type {PolicyTuning} from './types.ts';

/** Tokens of one or more calls, by the phase that computes them. */
export type WorkTokens = {
	/** Prompt tokens that are not cached. */
	prefillTokens: number;
	completionTokens: number;
};

/**
 * Estimates the engine time of calls in a full batch, in milliseconds of an engine at normal speed.
 *
 * @example
 * ```ts
 * estimateWorkMs({prefillTokens: 1000, completionTokens: 100}, DEFAULT_TUNING);
 * ```
 */
export const estimateWorkMs = (
	{prefillTokens, completionTokens}: WorkTokens,
	{prefillMsPerToken, decodeMsPerToken}: PolicyTuning,
): number =>
	Math.max(0, prefillTokens) * prefillMsPerToken +
	Math.max(0, completionTokens) * decodeMsPerToken;
