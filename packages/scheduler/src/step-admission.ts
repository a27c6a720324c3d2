import type {
	AdmissionAction,
	AdmissionEvent,
	AdmissionState,
	CallEnd,
	DecisionTime,
} from './admission-types.ts';
import {recordArrival} from './arrived-work.ts';
import {recordAttempt} from './concurrency-limit.ts';
import {dispatch} from './dispatch-calls.ts';
import {createProgramNeeds, recordServedCall} from './program-needs.ts';
import {
	refuseForLaterCalls,
	refuseLate,
	refuseOnArrival,
} from './refuse-calls.ts';
import {recordFirstAttempt} from './retry-budget.ts';
import {
	type ArrivingCall,
	createServiceQueue,
	recordDuration,
	type ServiceQueue,
} from './service-queue.ts';
import type {RandomSource} from './types.ts';
import {createWaitingCall} from './waiting-call.ts';

/**
 * Creates the state of a daemon that has not sent anything.
 *
 * @example
 * ```ts
 * const state = createAdmissionState();
 * ```
 */
export const createAdmissionState = (): AdmissionState => ({
	queues: new Map(),
	needs: createProgramNeeds(),
});

const arrive = (
	state: AdmissionState,
	queue: ServiceQueue,
	call: ArrivingCall,
	time: DecisionTime,
): AdmissionAction[] => {
	const {nowMs} = time;
	const waiting = createWaitingCall(state, call, nowMs);
	if (!call.isRetry) {
		recordFirstAttempt(queue.retries, call.callerId);
	}

	const {expectedMs: workMs, programWorkMs} = waiting;
	recordArrival(queue.arrived, waiting, {workMs, programWorkMs, nowMs});
	queue.waiting.set(call.requestId, waiting);
	const earlyRefusal = refuseForLaterCalls(state, queue, waiting, time);
	if (earlyRefusal) {
		return [earlyRefusal];
	}

	const actions = dispatch(state, queue, nowMs);
	const refusal = queue.waiting.has(call.requestId)
		? refuseOnArrival(queue, waiting, time)
		: undefined;
	return refusal ? [...actions, refusal] : actions;
};

const finish = (
	state: AdmissionState,
	queue: ServiceQueue,
	{requestId, end}: {requestId: string; end: CallEnd},
	nowMs: number,
): void => {
	const started = queue.started.get(requestId);
	if (!started) {
		return;
	}

	queue.started.delete(requestId);
	const {call, startedAtMs} = started;
	const durationMs = nowMs - startedAtMs;
	const isServed = end.outcome === 'served';
	if (isServed) {
		recordDuration(queue, durationMs);
		recordServedCall(state.needs, call, {
			durationMs,
			generatedTokens: end.generatedTokens,
		});
	}

	const delayMs =
		call.promptTokens > 0 ? (end.firstByteMs ?? durationMs) : durationMs;
	recordAttempt(
		queue.limit,
		{
			isRefusedAsFull: end.outcome === 'full',
			delayMs: isServed ? delayMs : undefined,
			promptTokens: call.promptTokens,
		},
		nowMs,
	);
};

/**
 * Applies an event to the queue of its service and returns the calls to be sent and to be refused. Mutates
 * `state`. While calls wait, a `tick` is due every few milliseconds, because the load of other daemons changes
 * without an event here.
 *
 * @example
 * ```ts
 * for (const action of stepAdmission(state, {type: 'arrive', service, capacity, call}, nowMs, Math.random)) {
 * 	apply(action);
 * }
 * ```
 */
export const stepAdmission = (
	state: AdmissionState,
	event: AdmissionEvent,
	nowMs: number,
	random: RandomSource,
): AdmissionAction[] => {
	const {service, capacity} = event;
	const queue = state.queues.get(service) ?? createServiceQueue(capacity);
	state.queues.set(service, queue);
	queue.capacity = capacity;
	switch (event.type) {
		case 'arrive': {
			return arrive(state, queue, event.call, {nowMs, random});
		}

		case 'finish': {
			finish(state, queue, event, nowMs);
			return dispatch(state, queue, nowMs);
		}

		case 'leave': {
			queue.waiting.delete(event.requestId);
			return dispatch(state, queue, nowMs);
		}

		case 'tick': {
			const refusals = refuseLate(queue, {nowMs, random});
			return [...refusals, ...dispatch(state, queue, nowMs)];
		}
	}
};
