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

/** Lower bound if the wait is known exactly; a shorter delay would not outlast the estimate's error. */
const MIN_EXACT_RETRY_AFTER_MS = 50;

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
	minRetryAfterMs = MIN_RETRY_AFTER_MS,
): AdmissionDecision => ({
	admitted: false,
	reason,
	retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.max(minRetryAfterMs, waitMs)),
});

/**
 * Admits a call whose longest acceptable wait is known. A new program also needs the time for the rest of
 * the program; a call of a running program needs only its own.
 */
const admitWithinWait = (
	waitMs: number,
	maxWaitMs: number,
	call: AdmissionCall,
	nowMs: number,
): AdmissionDecision => {
	const programSlackMs = call.isNewProgram
		? (call.deadlineMs ?? Infinity) - nowMs - (call.expectedProgramMs ?? 0)
		: Infinity;
	if (waitMs <= Math.min(maxWaitMs, programSlackMs)) {
		return {admitted: true};
	}

	// A program that is late without any wait gains nothing from an earlier retry.
	const slackMs = Math.max(0, Math.min(maxWaitMs, programSlackMs));
	return refuse(
		programSlackMs < maxWaitMs ? 'deadline-unreachable' : 'overloaded',
		waitMs - slackMs,
		MIN_EXACT_RETRY_AFTER_MS,
	);
};

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
	const waitMs = load.waitMs ?? estimateWaitMs(load);
	if (load.engines === 0) {
		return refuse('overloaded', tuning.admissionWaitMs);
	}

	if (call.maxWaitMs !== undefined) {
		return admitWithinWait(waitMs, call.maxWaitMs, call, nowMs);
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
