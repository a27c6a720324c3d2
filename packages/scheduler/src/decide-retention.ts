import {readTuning} from './policy-tuning.ts';
import type {
	PolicySettings,
	RetentionDecision,
	RetentionInput,
} from './types.ts';

/** Assumed pause when the caller gives no estimate. */
const ASSUMED_PAUSE_MS = 5000;

/** Minimum pause for an export; for shorter pauses the transfers cost more than they save. */
const MIN_EXPORT_PAUSE_MS = 2000;

/**
 * Decides what happens to a program's cache during a pause.
 *
 * The cache is kept while the engine has free capacity, or when the pause is short and the cache is not
 * the next to be evicted. Otherwise it is exported if two transfers are cheaper than recomputing it and
 * it fits into host memory, and kept if not. It is dropped only when the program has ended.
 *
 * @example
 * ```ts
 * const decision = decideRetention({...input, programEnded: true}, settings); // 'drop'
 * ```
 */
export const decideRetention = (
	input: RetentionInput,
	settings: PolicySettings,
): RetentionDecision => {
	if (input.programEnded) {
		return 'drop';
	}

	const tuning = readTuning(settings);
	const pauseMs = input.expectedPauseMs ?? ASSUMED_PAUSE_MS;
	const usedShare =
		input.cacheUsedTokens / Math.max(1, input.cacheCapacityTokens);
	if (
		usedShare <= tuning.retentionCacheShare ||
		(pauseMs < MIN_EXPORT_PAUSE_MS && !input.nextToEvict)
	) {
		return 'keep';
	}

	const isExportCheaper =
		2 * tuning.transferMsPerToken <
		tuning.prefillMsPerToken *
			(settings.cacheWeight / Math.max(settings.latencyWeight, 0.001));
	return isExportCheaper && input.exportFreeTokens >= input.cachedTokens
		? 'export'
		: 'keep';
};
