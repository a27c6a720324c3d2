import {
	type AdmissionAction,
	type AdmissionReason,
	type AdmissionState,
	BASE_SETTINGS,
	type DecisionTime,
} from './admission-types.ts';
import {admitCall} from './admit-call.ts';
import {shareLeftFor} from './arrived-work.ts';
import {estimateWaitMs} from './dispatch-calls.ts';
import {toolServicesOf} from './program-needs.ts';
import {takeRetry} from './retry-budget.ts';
import {
	AGED_SHARE,
	concurrencyOf,
	recordUnderWayWait,
	type ServiceQueue,
	type WaitingCall,
} from './service-queue.ts';
import {isNewProgram, latestStartMs} from './waiting-call.ts';

/** Longest queue of a service; a longer one would cost more to order than it is worth. */
const MAX_WAITING = 300;

/** Share of the target latency within which a waiting first turn may still be refused for a longer queue. */
const EARLY_REFUSAL_SHARE = 0.25;

/** Time after which a waiting first turn is checked again; each check looks at the whole queue. */
const RECHECK_INTERVAL_MS = 100;

/** Retry delay after a refusal without an estimate, long enough for some calls to end. */
const SHORT_RETRY_MS = 100;

/** Share of a service that the tool calls of a new program must find left by those of running programs. */
const MIN_LATER_SHARE = 0.1;

/** Retry delay for a program that would need a full service; its load is averaged over twice this time. */
const FULL_SERVICE_RETRY_MS = 1500;

/** Range of the random factor on retry delays, so that callers do not come back together. */
const RETRY_JITTER_SHARE = 0.2;

type Decision = {reason: AdmissionReason; retryAfterMs: number; waitMs: number};

const refuse = (
	queue: ServiceQueue,
	waiting: WaitingCall,
	decision: Decision,
	{nowMs, random}: DecisionTime,
): AdmissionAction => {
	const {reason, retryAfterMs, waitMs} = decision;
	queue.waiting.delete(waiting.requestId);
	if (waiting.isUnderWay) {
		recordUnderWayWait(queue, waiting.priority, waitMs, nowMs);
	}

	return {
		type: 'refuse',
		requestId: waiting.requestId,
		reason,
		retryAfterMs: Math.ceil(retryAfterMs * (1 + RETRY_JITTER_SHARE * random())),
		inputs: {
			waitMs,
			maxWaitMs: latestStartMs(waiting) - nowMs,
			needMs: waiting.remainingNeedMs,
			waiting: queue.waiting.size,
			inFlight: queue.started.size,
			limit: concurrencyOf(queue),
		},
	};
};

/** Refuses a waiting call that will not be served in time behind those before it. */
const admitWaiting = (
	queue: ServiceQueue,
	waiting: WaitingCall,
	time: DecisionTime,
): AdmissionAction | undefined => {
	const {call} = waiting;
	const {nowMs} = time;
	const waitMs = estimateWaitMs(queue, waiting, nowMs);
	const {slots} = queue.capacity;
	const decision = admitCall(
		{
			engines: 1,
			slots,
			inFlight: queue.started.size,
			queued: queue.waiting.size,
			outstandingWorkMs: 0,
			cacheUsedTokens: 0,
			cacheCapacityTokens: 0,
			callerPrograms: 0,
			programs: 0,
			activeCallers: 1,
			waitMs,
		},
		{
			programId: waiting.programId,
			callerId: waiting.callerId,
			isNewProgram: isNewProgram(call),
			deadlineMs: call.programDeadlineMs,
			expectedProgramMs: waiting.remainingNeedMs,
			maxWaitMs: latestStartMs(waiting) - nowMs,
		},
		nowMs,
		BASE_SETTINGS,
	);
	return decision.admitted
		? undefined
		: refuse(queue, waiting, {...decision, waitMs}, time);
};

/**
 * Time by which a new program would end late because of the present queues for its later calls. A program
 * that is late in any case is not held back by them.
 */
const excessOfLaterWaitsMs = (
	{call, laterWaitMs, remainingNeedMs}: WaitingCall,
	nowMs: number,
): number => {
	const {programDeadlineMs = Infinity} = call;
	const endMs = nowMs + remainingNeedMs;
	const isLateAnyway = endMs - laterWaitMs > programDeadlineMs;
	return isNewProgram(call) && !isLateAnyway ? endMs - programDeadlineMs : 0;
};

/**
 * Whether the work that goes before a new program leaves it a part of the service, or the share of the calls
 * that have waited long is due. Otherwise it would only be served in chance gaps, and its later calls then go
 * before programs that need less.
 */
const hasShareLeft = (
	queue: ServiceQueue,
	waiting: WaitingCall,
	nowMs: number,
): boolean => {
	const concurrency = concurrencyOf(queue);
	return (
		queue.agedMs < queue.contendedMs * AGED_SHARE ||
		shareLeftFor(queue.arrived, waiting, {concurrency, nowMs}) > 0
	);
};

/**
 * Whether running programs ask more of a service than it can do, which the program will call, too. Its queue
 * alone does not show that, because it also holds calls that have given way to others.
 */
const isLaterServiceFull = (
	{needs, queues}: AdmissionState,
	waiting: WaitingCall,
	nowMs: number,
): boolean =>
	toolServicesOf(needs, waiting.call.routeName).some((service) => {
		const queue = queues.get(service);
		if (!queue || queue.waiting.size === 0) {
			return false;
		}

		const concurrency = concurrencyOf(queue);
		return (
			shareLeftFor(queue.arrived, waiting, {concurrency, nowMs}) <
			MIN_LATER_SHARE
		);
	});

/**
 * Refuses a new program before anything of it is sent, if the services that its later calls need are too full
 * for it to end in time.
 */
export const refuseForLaterCalls = (
	state: AdmissionState,
	queue: ServiceQueue,
	waiting: WaitingCall,
	time: DecisionTime,
): AdmissionAction | undefined => {
	const {nowMs} = time;
	const waitMs = waiting.laterWaitMs;
	const excessMs = excessOfLaterWaitsMs(waiting, nowMs);
	if (excessMs > 0) {
		const retryAfterMs = Math.max(SHORT_RETRY_MS, excessMs);
		const reason = 'deadline-unreachable';
		return refuse(queue, waiting, {reason, retryAfterMs, waitMs}, time);
	}

	if (isNewProgram(waiting.call) && isLaterServiceFull(state, waiting, nowMs)) {
		const retryAfterMs = FULL_SERVICE_RETRY_MS;
		const reason = 'overloaded';
		return refuse(queue, waiting, {reason, retryAfterMs, waitMs}, time);
	}

	return undefined;
};

/** Refuses a call that has just arrived and was not sent, if waiting is of no use to it or to the others. */
export const refuseOnArrival = (
	queue: ServiceQueue,
	waiting: WaitingCall,
	time: DecisionTime,
): AdmissionAction | undefined => {
	const {call} = waiting;
	const {nowMs} = time;
	const refuseFor = (reason: AdmissionReason, retryAfterMs: number) => {
		const waitMs = estimateWaitMs(queue, waiting, nowMs);
		return refuse(queue, waiting, {reason, retryAfterMs, waitMs}, time);
	};

	if (queue.waiting.size > MAX_WAITING) {
		return refuseFor('queue-full', SHORT_RETRY_MS);
	}

	if (isNewProgram(call) && !hasShareLeft(queue, waiting, nowMs)) {
		return refuseFor('overloaded', FULL_SERVICE_RETRY_MS);
	}

	const refusal = admitWaiting(queue, waiting, time);
	if (refusal) {
		return refusal;
	}

	return call.isRetry && !takeRetry(queue.retries, call.callerId)
		? refuseFor('retry-budget', SHORT_RETRY_MS)
		: undefined;
};

/** Refuses the waiting calls that can no longer be answered, and new programs that the queue has become too long for. */
export const refuseLate = (
	queue: ServiceQueue,
	time: DecisionTime,
): AdmissionAction[] => {
	const {nowMs} = time;
	const actions: AdmissionAction[] = [];
	for (const waiting of queue.waiting.values()) {
		const {call, queuedAtMs} = waiting;
		const earlyUntilMs =
			queuedAtMs + call.targetLatencyMs * EARLY_REFUSAL_SHARE;
		if (latestStartMs(waiting) < nowMs) {
			const decision: Decision = {
				reason: 'deadline-unreachable',
				retryAfterMs: SHORT_RETRY_MS,
				waitMs: estimateWaitMs(queue, waiting, nowMs),
			};
			actions.push(refuse(queue, waiting, decision, time));
		} else if (
			isNewProgram(call) &&
			nowMs <= earlyUntilMs &&
			nowMs - waiting.checkedAtMs >= RECHECK_INTERVAL_MS
		) {
			waiting.checkedAtMs = nowMs;
			const refusal = admitWaiting(queue, waiting, time);
			actions.push(...(refusal ? [refusal] : []));
		}
	}

	return actions;
};
