import {readTuning} from './policy-tuning.ts';
import type {
	AdmissionCall,
	AdmissionDecision,
	FleetLoad,
	PolicySettings,
} from './types.ts';

/** Bounds of the retry-after of a refusal. */
const LEAST_RETRY_AFTER_MS = 1000;
const LARGEST_RETRY_AFTER_MS = 30_000;

/** Allowance of a caller with less than its share of the programs, as a multiple of the usual bound. */
const SMALL_CALLER_ALLOWANCE = 1.5;

/** Expected time that a call waits for a slot. */
const estimateWaitMs = (load: FleetLoad): number =>
	load.engines > 0 && load.queued > 0
		? (load.outstandingWorkMs / load.engines) *
			(load.queued / (load.queued + load.inFlight))
		: 0;

const refuse = (
	reason: 'overloaded' | 'deadline-unreachable',
	waitMs: number,
): AdmissionDecision => ({
	admitted: false,
	reason,
	retryAfterMs: Math.min(
		LARGEST_RETRY_AFTER_MS,
		Math.max(LEAST_RETRY_AFTER_MS, waitMs),
	),
});

/**
 * Admits or refuses a call. Under overload, new programs are refused first, those of callers above
 * their share before others; calls of running programs are refused only when waiting is hopeless.
 *
 * @example
 * ```ts
 * const decision = admitCall(load, {programId, callerId, isNewProgram: true}, nowMs, settings);
 * ```
 */
export const admitCall = (
	load: FleetLoad,
	call: AdmissionCall,
	nowMs: number,
	settings: PolicySettings,
): AdmissionDecision => {
	const tuning = readTuning(settings);
	const waitMs = estimateWaitMs(load);
	if (load.engines === 0) {
		return refuse('overloaded', tuning.admissionWaitMs);
	}

	if (!call.isNewProgram) {
		return waitMs > tuning.overloadWaitMs
			? refuse('overloaded', waitMs)
			: {admitted: true};
	}

	const fairPrograms = load.programs / Math.max(1, load.activeCallers);
	const allowance =
		load.callerPrograms < fairPrograms || (call.priority ?? 0) > 0
			? SMALL_CALLER_ALLOWANCE
			: 1;
	const isCacheFull =
		load.queued > 0 &&
		load.cacheUsedTokens >
			load.cacheCapacityTokens * tuning.admissionCacheShare * allowance;
	if (waitMs > tuning.admissionWaitMs * allowance || isCacheFull) {
		return refuse('overloaded', waitMs);
	}

	return call.deadlineMs !== undefined &&
		nowMs + waitMs + (call.expectedProgramMs ?? 0) > call.deadlineMs
		? refuse('deadline-unreachable', waitMs)
		: {admitted: true};
};
