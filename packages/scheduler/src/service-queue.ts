import type {CallerId, ProgramId} from '@marjoramcove/types';
import {
	type ArrivedWork,
	createArrivedWork,
	shareLeftFor,
} from './arrived-work.ts';
import {type CallerService, createCallerService} from './caller-service.ts';
import {compareCalls, type OrderContext} from './compare-calls.ts';
import {
	type ConcurrencyLimit,
	createConcurrencyLimit,
	type ServiceCapacity,
	shareOfSlots,
} from './concurrency-limit.ts';
import {createRetryBudgets, type RetryBudgets} from './retry-budget.ts';
import type {ProgramCall} from './program-needs.ts';
import type {QueuedCall} from './types.ts';

/** A call that arrives at the queue of its service. */
export type ArrivingCall = ProgramCall & {
	/** Unique among the calls of the daemon. */
	requestId: string;
	programId?: ProgramId;
	/** Team of the caller; one and the same value if there are no teams. */
	callerId: CallerId;
	/** 0 is the highest priority. */
	priority: number;
	/** Time by which the call itself must be answered. */
	deadlineMs: number;
	/** Time by which the program should end. */
	programDeadlineMs?: number;
	/** Latency that the caller expects; a refusal within a quarter of it costs the caller little. */
	targetLatencyMs: number;
	/** Whether this is a further attempt of a call that was sent before. */
	isRetry: boolean;
};

/** A waiting call with what its order and its admission depend on. */
export type WaitingCall = QueuedCall & {
	call: ArrivingCall;
	/** Time at which the call was last checked for admission. */
	checkedAtMs: number;
	/** Expected duration of the call itself. */
	expectedMs: number;
	/** Part of the need that the program is expected to wait for later calls. */
	laterWaitMs: number;
	/** Time that the program needs at this service, including the call. */
	programWorkMs: number;
	isUnderWay: boolean;
	remainingNeedMs: number;
};

/** A call that was sent and has not ended. */
export type StartedCall = {call: ArrivingCall; startedAtMs: number};

/** Moving average of waits, and when the last one was recorded. */
type RecentWait = {averageMs: number; atMs: number};

/** Queue of one service at one entry daemon. */
export type ServiceQueue = {
	waiting: Map<string, WaitingCall>;
	started: Map<string, StartedCall>;
	callerService: CallerService;
	limit: ConcurrencyLimit;
	retries: RetryBudgets;
	capacity: ServiceCapacity;
	/** Expected time of the calls sent while others waited, and of those among them that were sent by age. */
	contendedMs: number;
	agedMs: number;
	arrived: ArrivedWork;
	/** Average duration of a call. */
	meanCallMs: number;
	/** Recent waits of calls of running programs, by priority. */
	underWayWaits: Map<number, RecentWait>;
};

/** Weight of a new duration in the average. */
const MEAN_WEIGHT = 0.05;

/** Least number of slots with which a wait is computed, if the daemon's share of the service is tiny. */
const MIN_CONCURRENCY = 0.05;

/** Share of a contended service that goes to the calls that have waited longest, whatever their order. */
export const AGED_SHARE = 0.05;

/**
 * Creates the queue of a service of which nothing is known.
 *
 * @example
 * ```ts
 * const queue = createServiceQueue(capacity);
 * ```
 */
export const createServiceQueue = (
	capacity: ServiceCapacity,
): ServiceQueue => ({
	waiting: new Map(),
	started: new Map(),
	callerService: createCallerService(),
	limit: createConcurrencyLimit(),
	retries: createRetryBudgets(),
	capacity,
	contendedMs: 0,
	agedMs: 0,
	arrived: createArrivedWork(),
	meanCallMs: 0,
	underWayWaits: new Map(),
});

/** Records the duration of a call that was served. */
export const recordDuration = (
	queue: ServiceQueue,
	durationMs: number,
): void => {
	const mean = queue.meanCallMs === 0 ? durationMs : queue.meanCallMs;
	queue.meanCallMs = mean + MEAN_WEIGHT * (durationMs - mean);
};

/** Decay of the contended work with each call, so that an unused share of the past is not made up for. */
const CONTENDED_DECAY = 0.99;

/** Records a call that is sent while others wait. */
export const recordContendedSend = (
	queue: ServiceQueue,
	expectedMs: number,
	isAged: boolean,
): void => {
	queue.contendedMs = queue.contendedMs * CONTENDED_DECAY + expectedMs;
	queue.agedMs = queue.agedMs * CONTENDED_DECAY + (isAged ? expectedMs : 0);
};

/** Number of calls of this daemon that the service runs at a time. */
export const concurrencyOf = ({
	started,
	limit,
	capacity,
}: ServiceQueue): number =>
	Math.max(MIN_CONCURRENCY, started.size, shareOfSlots(limit, capacity));

/** Weight of a new wait in the average, and the time after which an average counts half. */
const WAIT_WEIGHT = 0.2;
const WAIT_HALF_LIFE_MS = 1000;

/** Number of priorities whose waits are kept. */
const MAX_PRIORITIES = 64;

const readRecentWaitMs = (wait: RecentWait | undefined, nowMs: number) =>
	wait ? wait.averageMs * 2 ** -((nowMs - wait.atMs) / WAIT_HALF_LIFE_MS) : 0;

/**
 * Records the wait of a call of a running program: the actual one if it is sent, the expected one if it is
 * refused.
 */
export const recordUnderWayWait = (
	{underWayWaits}: ServiceQueue,
	priority: number,
	waitMs: number,
	nowMs: number,
): void => {
	const recentMs = readRecentWaitMs(underWayWaits.get(priority), nowMs);
	if (underWayWaits.has(priority) || underWayWaits.size < MAX_PRIORITIES) {
		underWayWaits.set(priority, {
			averageMs: recentMs + WAIT_WEIGHT * (waitMs - recentMs),
			atMs: nowMs,
		});
	}
};

/**
 * Expected wait of a call that a running program of a priority will make: as long as recent ones waited, or as
 * the calls before it take that wait now.
 *
 * @param priority - as in `QueuedCall.priority`.
 * @example
 * ```ts
 * const waitMs = expectUnderWayWaitMs(queue, call.priority, nowMs);
 * ```
 */
export const expectUnderWayWaitMs = (
	queue: ServiceQueue,
	priority: number,
	nowMs: number,
): number => {
	// The waits of a load that has passed say nothing about an idle service.
	if (queue.waiting.size === 0) {
		return 0;
	}

	let workMs = 0;
	for (const other of queue.waiting.values()) {
		const isAhead =
			other.priority > priority ||
			(other.priority === priority && other.isUnderWay);
		workMs += isAhead ? other.expectedMs : 0;
	}

	return Math.max(
		workMs / concurrencyOf(queue),
		readRecentWaitMs(queue.underWayWaits.get(priority), nowMs),
	);
};

/** Work of the waiting calls that go before a call, by what they have in common with it. */
const sumWorkAhead = (
	queue: ServiceQueue,
	own: WaitingCall,
	context: OrderContext,
) => {
	const ahead = {
		higherMs: 0,
		equalMs: 0,
		teamMs: 0,
		callers: new Set([own.callerId]),
	};
	for (const other of queue.waiting.values()) {
		if (other === own || compareCalls(other, own, context) > 0) {
			continue;
		}

		// The later calls of a program go before new programs.
		const workMs = own.isUnderWay ? other.expectedMs : other.programWorkMs;
		if (other.priority > own.priority) {
			ahead.higherMs += workMs;
			continue;
		}

		ahead.equalMs += workMs;
		ahead.callers.add(other.callerId);
		if (other.callerId === own.callerId) {
			ahead.teamMs += workMs;
		}
	}

	return ahead;
};

/**
 * Expected wait of a waiting call behind those that go before it. Fairness bounds the wait of a team that has
 * little queued, and the share of sends by age bounds the wait of low priorities. Calls that have yet to arrive
 * take a part of the service, too, before those that they precede.
 *
 * @example
 * ```ts
 * const waitMs = estimateQueueWaitMs(queue, call, {nowMs, settings, tuning});
 * ```
 */
export const estimateQueueWaitMs = (
	queue: ServiceQueue,
	own: WaitingCall,
	context: OrderContext,
): number => {
	const {higherMs, equalMs, teamMs, callers} = sumWorkAhead(
		queue,
		own,
		context,
	);
	const fairMs = Math.min(equalMs, teamMs * callers.size);
	const concurrency = concurrencyOf(queue);
	// Any slot of the service that becomes free may be used, not only those of this daemon's share.
	const nextSlotMs =
		(queue.meanCallMs || own.expectedMs) /
		Math.max(concurrency, queue.capacity.slots);
	const shareLeft = shareLeftFor(queue.arrived, own, {
		concurrency,
		nowMs: context.nowMs,
	});
	const orderedMs =
		((higherMs + fairMs) / concurrency + nextSlotMs) /
		Math.max(AGED_SHARE, shareLeft);
	if (higherMs === 0) {
		return orderedMs;
	}

	const agedMs = (fairMs / concurrency + nextSlotMs) / AGED_SHARE;
	return Math.min(orderedMs, agedMs);
};
