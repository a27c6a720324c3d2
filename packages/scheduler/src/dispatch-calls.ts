import {
	type AdmissionAction,
	type AdmissionState,
	BASE_SETTINGS,
	FAIRNESS_SLACK_MS,
} from './admission-types.ts';
import {arrivedShare} from './arrived-work.ts';
import {readService, recordService} from './caller-service.ts';
import {mayStartRequest, recordStart} from './concurrency-limit.ts';
import {pickNext} from './pick-next.ts';
import {readTuning} from './policy-tuning.ts';
import {
	AGED_SHARE,
	concurrencyOf,
	estimateQueueWaitMs,
	recordContendedSend,
	recordUnderWayWait,
	type ServiceQueue,
	type WaitingCall,
} from './service-queue.ts';
import type {PolicySettings} from './types.ts';
import {estimateCallWorkMs} from './waiting-call.ts';

/** Wait after which a call may use the share of sends that goes by age. */
const AGED_AFTER_MS = 500;

const OVERLOAD_SETTINGS: PolicySettings = {
	...BASE_SETTINGS,
	programOrder: 'least-need',
};

const AGED_SETTINGS: PolicySettings = {
	...BASE_SETTINGS,
	tuning: {fairnessSlackMs: FAIRNESS_SLACK_MS, starvationMs: AGED_AFTER_MS},
};

/** Whether more work arrives than the service can do, so that not all programs can end in time. */
const isOverloaded = (queue: ServiceQueue, nowMs: number): boolean =>
	arrivedShare(queue.arrived, {concurrency: concurrencyOf(queue), nowMs}) > 1;

/** Order of the waiting calls at present. */
const settingsFor = (queue: ServiceQueue, nowMs: number): PolicySettings =>
	isOverloaded(queue, nowMs) ? OVERLOAD_SETTINGS : BASE_SETTINGS;

/** Expected wait of a waiting call in the present order. */
export const estimateWaitMs = (
	queue: ServiceQueue,
	waiting: WaitingCall,
	nowMs: number,
): number => {
	const settings = settingsFor(queue, nowMs);
	const tuning = readTuning(settings);
	return estimateQueueWaitMs(queue, waiting, {nowMs, settings, tuning});
};

/** Calls that could end in time but have waited long, when their share of the service is due. */
const pickAged = (
	queue: ServiceQueue,
	calls: readonly WaitingCall[],
	nowMs: number,
): WaitingCall | undefined => {
	if (queue.agedMs >= queue.contendedMs * AGED_SHARE) {
		return undefined;
	}

	const aged = calls.filter(
		({queuedAtMs, remainingNeedMs, deadlineMs = Infinity}) =>
			nowMs - queuedAtMs >= AGED_AFTER_MS &&
			nowMs + remainingNeedMs <= deadlineMs,
	);
	const underWay = aged.filter(({isUnderWay}) => isUnderWay);
	return pickNext(
		underWay.length > 0 ? underWay : aged,
		nowMs,
		AGED_SETTINGS,
	) as WaitingCall | undefined;
};

/** The call that goes next; the queue must not be empty. */
const pickWaiting = (
	queue: ServiceQueue,
	nowMs: number,
): {next: WaitingCall; isAged: boolean} => {
	const calls = [...queue.waiting.values()];
	for (const call of calls) {
		call.callerServiceMs = readService(queue.callerService, call.callerId);
	}

	const aged = pickAged(queue, calls, nowMs);
	const next =
		aged ?? (pickNext(calls, nowMs, settingsFor(queue, nowMs)) as WaitingCall);
	return {next, isAged: aged !== undefined};
};

const send = (
	state: AdmissionState,
	queue: ServiceQueue,
	{next: waiting, isAged}: {next: WaitingCall; isAged: boolean},
	nowMs: number,
): AdmissionAction => {
	const {requestId, call, callerId, queuedAtMs} = waiting;
	queue.waiting.delete(requestId);
	if (waiting.isUnderWay) {
		const waitedMs = nowMs - queuedAtMs;
		recordUnderWayWait(queue, waiting.priority, waitedMs, nowMs);
	}

	recordStart(queue.limit, queue.capacity, queue.started.size, nowMs);
	queue.started.set(requestId, {call, startedAtMs: nowMs});
	let floorMs: number | undefined;
	for (const other of queue.waiting.values()) {
		const serviceMs = readService(queue.callerService, other.callerId);
		floorMs = Math.min(floorMs ?? Infinity, serviceMs);
	}

	recordService(
		queue.callerService,
		callerId,
		estimateCallWorkMs(state.needs, waiting),
		floorMs,
	);
	if (queue.waiting.size > 0) {
		recordContendedSend(queue, waiting.expectedMs, isAged);
	}

	return {type: 'send', requestId, waitedMs: nowMs - queuedAtMs};
};

/** Sends what the limit allows, in order. */
export const dispatch = (
	state: AdmissionState,
	queue: ServiceQueue,
	nowMs: number,
): AdmissionAction[] => {
	const actions: AdmissionAction[] = [];
	for (;;) {
		const [first] = queue.waiting.values();
		const load = {
			inFlight: queue.started.size,
			expectedMs: queue.meanCallMs || (first?.expectedMs ?? 0),
		};
		if (!first || !mayStartRequest(queue.limit, queue.capacity, load, nowMs)) {
			break;
		}

		actions.push(send(state, queue, pickWaiting(queue, nowMs), nowMs));
	}

	return actions;
};
