import {type AdmissionState, BASE_SETTINGS} from './admission-types.ts';
import {estimateWorkMs} from './estimate-work.ts';
import {readTuning} from './policy-tuning.ts';
import {
	estimateNeed,
	expectDueAtMs,
	noteTurn,
	type ProgramNeeds,
} from './program-needs.ts';
import {
	type ArrivingCall,
	expectUnderWayWaitMs,
	type WaitingCall,
} from './service-queue.ts';

/**
 * Factor on the expected waits of a new program's later calls: the programs admitted just before it have yet
 * to reach those queues. With 1, the programs of all classes ended slightly late behind full tool servers.
 */
const LATER_WAIT_MARGIN = 2;

/** Overhead of a call that is expected to take no time, so that no need is 0. */
const MIN_NEED_MS = 1;

/** Whether a call starts a program; one without a program is a program of its own. */
export const isNewProgram = ({programId, isFirstTurn}: ArrivingCall): boolean =>
	programId === undefined || isFirstTurn;

/** Engine time of a call for fairness: tokens read and generated, or the duration of a plain call. */
export const estimateCallWorkMs = (
	{generatedTokens}: ProgramNeeds,
	{call, expectedMs}: WaitingCall,
): number =>
	call.promptTokens > 0
		? estimateWorkMs(
				{
					prefillTokens: call.promptTokens,
					completionTokens: generatedTokens.get(call.routeName) ?? 0,
				},
				readTuning(BASE_SETTINGS),
			)
		: expectedMs;

/** Adds what the order and the admission of a call depend on. */
export const createWaitingCall = (
	state: AdmissionState,
	call: ArrivingCall,
	nowMs: number,
): WaitingCall => {
	const priority = -call.priority;
	if (call.isTurn) {
		noteTurn(state.needs, call, call.programDeadlineMs);
	}

	const need = estimateNeed(state.needs, call, (service) => {
		const queue = state.queues.get(service);
		return queue ? expectUnderWayWaitMs(queue, priority, nowMs) : 0;
	});
	const laterWaitMs =
		need.laterWaitMs * (isNewProgram(call) ? LATER_WAIT_MARGIN : 1);
	const dueAtMs = expectDueAtMs(state.needs, call, nowMs);
	return {
		call,
		programId: (call.programId ?? call.requestId) as WaitingCall['programId'],
		callerId: call.callerId,
		requestId: call.requestId,
		queuedAtMs: nowMs,
		checkedAtMs: nowMs,
		deadlineMs: dueAtMs ?? call.deadlineMs,
		attainedTokens: 0,
		promptTokens: call.promptTokens,
		cachedTokens: 0,
		expectedCompletionTokens: 0,
		turn: 0,
		// The scheduler serves the greatest priority first.
		priority,
		expectedMs: Math.max(MIN_NEED_MS, need.callMs),
		laterWaitMs,
		programWorkMs: Math.max(MIN_NEED_MS, need.serviceMs),
		isUnderWay: !isNewProgram(call),
		remainingNeedMs: Math.max(
			MIN_NEED_MS,
			dueAtMs === undefined ? need.callMs : need.programMs + laterWaitMs,
		),
	};
};

/** Latest time at which a call can be sent and still be answered in time. */
export const latestStartMs = ({call, expectedMs}: WaitingCall): number =>
	call.deadlineMs - expectedMs;
