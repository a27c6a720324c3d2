import {readTuning} from './policy-tuning.ts';
import type {
	PolicySettings,
	RetentionDecision,
	RetentionInput,
} from './types.ts';

/** Pause that is assumed when the caller gave none. */
const ASSUMED_PAUSE_MS = 5000;

/** Pause during which exported cache is moved back and forth faster than it is worth. */
const LEAST_EXPORT_PAUSE_MS = 2000;

/**
 * Decides what happens to the cache of a program over a pause.
 *
 * The cache is kept while there is room, or when the pause is short; otherwise it is exported when
 * moving it twice is cheaper than computing it again. It is dropped only when the program has ended
 * or when the cache is full and it cannot be exported.
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
		(pauseMs < LEAST_EXPORT_PAUSE_MS && !input.nextToEvict)
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
