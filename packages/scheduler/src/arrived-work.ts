import type {CallerId} from '@marjoramcove/types';
import type {QueuedCall} from './types.ts';

/**
 * Measures the work that arrives at a service by the order in which it is served, so that a call knows which
 * part of the service calls that have yet to arrive will take before it. The load that it answers: overload
 * that lasts longer than the present queue.
 */
export type ArrivedWork = {
	/** Work by priority, progress and size of the need, see {@link classOf}. */
	classes: Map<string, WorkClass>;
	callers: Map<CallerId, DecayingSum>;
};

type DecayingSum = {sumMs: number; atMs: number};
type WorkClass = DecayingSum &
	ClassKey & {
		/** Work of the whole programs that the calls belong to, as a factor on that of the calls. */
		programFactor: number;
	};
type ClassKey = {priority: number; isUnderWay: boolean; needClass: number};
type ArrivingWork = Pick<
	QueuedCall,
	'callerId' | 'isUnderWay' | 'priority' | 'remainingNeedMs'
>;

/** Time over which the work is averaged: some programs of a route arrive in it at one daemon. */
const AVERAGING_MS = 3000;

/** Number of classes and callers above which those that ceased to arrive are removed. */
const PRUNE_ABOVE = 256;

/** Averaging times after which a class without arrivals is removed. */
const PRUNE_AFTER_TIMES = 5;

/** Share of a service below which the work of a caller does not count as active. */
const ACTIVE_SHARE = 0.005;

/**
 * Creates a record without arrivals.
 *
 * @example
 * ```ts
 * const arrived = createArrivedWork();
 * ```
 */
export const createArrivedWork = (): ArrivedWork => ({
	classes: new Map(),
	callers: new Map(),
});

const classOf = ({
	priority,
	isUnderWay = false,
	remainingNeedMs = 0,
}: ArrivingWork): ClassKey => ({
	priority,
	isUnderWay,
	needClass: Math.round(Math.log2(1 + remainingNeedMs)),
});

const readSum = ({sumMs, atMs}: DecayingSum, nowMs: number): number =>
	sumMs * Math.exp((atMs - nowMs) / AVERAGING_MS);

const addTo = <Key, Sum extends DecayingSum>(
	sums: Map<Key, Sum>,
	key: Key,
	empty: Sum,
	{workMs, nowMs}: {workMs: number; nowMs: number},
): void => {
	const sum = sums.get(key) ?? empty;
	sum.sumMs = readSum(sum, nowMs) + workMs;
	sum.atMs = nowMs;
	sums.set(key, sum);
	if (sums.size > PRUNE_ABOVE) {
		for (const [other, {atMs}] of sums) {
			if (nowMs - atMs > AVERAGING_MS * PRUNE_AFTER_TIMES) {
				sums.delete(other);
			}
		}
	}
};

/**
 * Records a call that arrives. Mutates and returns `arrived`.
 *
 * @example
 * ```ts
 * arrived = recordArrival(arrived, call, {workMs: 400, nowMs});
 * ```
 */
export const recordArrival = (
	arrived: ArrivedWork,
	call: ArrivingWork,
	work: {workMs: number; nowMs: number; programWorkMs?: number},
): ArrivedWork => {
	const key = classOf(call);
	const name = `${key.priority} ${key.isUnderWay} ${key.needClass}`;
	const programFactor = (work.programWorkMs ?? work.workMs) / work.workMs;
	const empty = {...key, programFactor, sumMs: 0, atMs: 0};
	addTo(arrived.classes, name, empty, work);
	arrived.classes.get(name)!.programFactor = programFactor;
	addTo(arrived.callers, call.callerId, {sumMs: 0, atMs: 0}, work);
	return arrived;
};

/**
 * Share of the service that is left for a call after the work that goes before it by priority, progress and
 * size of the need. A caller that uses less than its part is held back by higher priorities only.
 *
 * @param concurrency - calls that the service runs at a time for this daemon.
 * @returns at most 1; negative if more goes before the call than the service can do.
 * @example
 * ```ts
 * const share = shareLeftFor(arrived, call, {concurrency: 12, nowMs});
 * ```
 */
export const shareLeftFor = (
	{classes, callers}: ArrivedWork,
	call: ArrivingWork,
	{concurrency, nowMs}: {concurrency: number; nowMs: number},
): number => {
	const own = classOf(call);
	const capacityMs = AVERAGING_MS * concurrency;
	let higherMs = 0;
	let aheadMs = 0;
	for (const other of classes.values()) {
		if (other.priority > own.priority) {
			higherMs += readSum(other, nowMs);
			continue;
		}

		const goesBefore =
			other.isUnderWay === own.isUnderWay
				? other.needClass < own.needClass
				: other.isUnderWay;
		if (other.priority === own.priority && goesBefore) {
			// The later calls of a smaller new program go before the own one, too.
			const factor = other.isUnderWay ? 1 : other.programFactor;
			aheadMs += readSum(other, nowMs) * factor;
		}
	}

	let activeCallers = 0;
	for (const sum of callers.values()) {
		activeCallers += Number(readSum(sum, nowMs) > ACTIVE_SHARE * capacityMs);
	}

	const callerSum = callers.get(call.callerId);
	const callerMs = callerSum ? readSum(callerSum, nowMs) : 0;
	const leftMs = capacityMs - higherMs;
	const isBelowFairShare = callerMs * Math.max(1, activeCallers) < leftMs;
	// Calls of programs under way are refused last, so that only what has arrived holds them back.
	const isHeldBack = !isBelowFairShare && !own.isUnderWay;
	return (leftMs - (isHeldBack ? aheadMs : 0)) / capacityMs;
};

/**
 * Work that arrives, as a share of what the service can do; above 1 not all of it can be served.
 *
 * @example
 * ```ts
 * const isOverloaded = arrivedShare(arrived, {concurrency: 12, nowMs}) > 1;
 * ```
 */
export const arrivedShare = (
	{classes}: ArrivedWork,
	{concurrency, nowMs}: {concurrency: number; nowMs: number},
): number => {
	let workMs = 0;
	for (const sum of classes.values()) {
		workMs += readSum(sum, nowMs);
	}

	return workMs / (AVERAGING_MS * concurrency);
};
