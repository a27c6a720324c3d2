import {readTuning} from './policy-tuning.ts';
import type {
	AdmissionCall,
	AdmissionDecision,
	FleetLoad,
	PolicySettings,
} from './types.ts';

/** Bounds of the `retryAfterMs` of a refusal. */
const MIN_RETRY_AFTER_MS = 1000;
const MAX_RETRY_AFTER_MS = 30_000;

/**
 * Factor on the admission limits for callers below their fair share of programs and for prioritised
 * calls.
 */
const PREFERRED_CALLER_ALLOWANCE = 1.5;

/** Expected queueing time of a new call. */
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
		MAX_RETRY_AFTER_MS,
		Math.max(MIN_RETRY_AFTER_MS, waitMs),
	),
});

/**
 * Admits or refuses a call. Under overload, new programs are refused first, starting with callers at or
 * above their fair share. Calls of running programs are refused only when the expected queueing time
 * exceeds `overloadWaitMs`, or when no engine accepts work.
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
			? PREFERRED_CALLER_ALLOWANCE
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
