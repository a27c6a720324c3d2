/**
 * Learns how many requests an entry daemon may have in progress at a service. The load that it answers: more
 * requests than the slots of the servers, from many entry daemons that know each other's load only from reports.
 */

/** What an entry daemon knows about the servers of a service. */
export type ServiceCapacity = {
	/** Slots of the servers that accept requests. */
	slots: number;
	/** Requests of other entry daemons in progress there, according to their last reports. */
	othersInFlight: number;
	/** Entry daemons that send requests to the service, including this one. */
	entryDaemons: number;
	/** Whether the reports of the other entry daemons are recent. */
	isInformed: boolean;
};

/** Moving average of the delay of requests of similar size, and the least that it has been. */
type DelayAverage = {averageMs: number; leastMs: number; samples: number};

/** Learnt limit of one service. */
export type ConcurrencyLimit = {
	/** Share of the slots that may be filled before requests queue at the servers. */
	usableShare: number;
	/** Bound on the requests in progress while the daemon has served few requests since its start. */
	startLimit: number;
	changedAtMs: number;
	/** Time at which a request beyond the whole part of the daemon's share was last sent. */
	lastExtraAtMs: number;
	/** Delays by size class, see {@link sizeClassOf}. */
	delays: Map<number, DelayAverage>;
};

/** How an attempt ended, as far as the limit is concerned. */
export type LimitObservation = {
	/** Whether the server refused the request as full. */
	isRefusedAsFull: boolean;
	/** Time until the first byte for a stream, the whole time for a plain request; absent if it was not served. */
	delayMs?: number;
	promptTokens: number;
};

/** Requests in progress that a daemon may have at first, when it does not know the load of the others. */
export const START_LIMIT = 2;

/** Time between two changes of the limit; several reports of load arrive in it at any size. */
const CHANGE_INTERVAL_MS = 250;

/** Factor of the average delay on the least one from which requests are taken to queue at the servers. */
const QUEUED_DELAY_FACTOR = 2;

/** Factors and step of the usable share: quick to fall, slow to rise. */
const DELAY_DECREASE_FACTOR = 0.95;
const REFUSAL_DECREASE_FACTOR = 0.85;
const INCREASE_STEP = 0.02;

/** Lower bound of the usable share, so that wrong measurements leave half of the servers in use. */
const MIN_USABLE_SHARE = 0.5;

/** Weight of a new delay, and the number of delays before the average counts. */
const DELAY_WEIGHT = 0.1;
const MIN_SAMPLES = 10;

/** Share by which the least delay rises with each sample, so that a service that became slower is learnt. */
const LEAST_RISE = 0.001;

/** Least share of a slot with which the interval between requests is computed. */
const MIN_SHARE = 0.01;

/**
 * Creates the limit of a service of which nothing is known.
 *
 * @example
 * ```ts
 * const limit = createConcurrencyLimit();
 * ```
 */
export const createConcurrencyLimit = (): ConcurrencyLimit => ({
	usableShare: 1,
	startLimit: START_LIMIT,
	changedAtMs: -Infinity,
	lastExtraAtMs: -Infinity,
	delays: new Map(),
});

/**
 * Class of requests whose durations are compared with each other: the prompt length by powers of two.
 *
 * @example
 * ```ts
 * sizeClassOf(3000); // 12
 * ```
 */
export const sizeClassOf = (promptTokens: number): number =>
	Math.ceil(Math.log2(1 + Math.max(0, promptTokens)));

const recordDelay = (
	limit: ConcurrencyLimit,
	sizeClass: number,
	delayMs: number,
): DelayAverage => {
	const delay = limit.delays.get(sizeClass) ?? {
		averageMs: delayMs,
		leastMs: Infinity,
		samples: 0,
	};
	limit.delays.set(sizeClass, delay);
	delay.samples++;
	delay.averageMs += DELAY_WEIGHT * (delayMs - delay.averageMs);
	if (delay.samples >= MIN_SAMPLES) {
		delay.leastMs = Math.min(delay.leastMs * (1 + LEAST_RISE), delay.averageMs);
	}

	return delay;
};

/**
 * Records the end of an attempt. Mutates and returns `limit`.
 *
 * @example
 * ```ts
 * limit = recordAttempt(limit, {isRefusedAsFull: false, delayMs: 40, promptTokens: 900}, nowMs);
 * ```
 */
export const recordAttempt = (
	limit: ConcurrencyLimit,
	{isRefusedAsFull, delayMs, promptTokens}: LimitObservation,
	nowMs: number,
): ConcurrencyLimit => {
	let isQueued = false;
	if (delayMs !== undefined) {
		limit.startLimit++;
		const delay = recordDelay(limit, sizeClassOf(promptTokens), delayMs);
		isQueued =
			delay.samples >= MIN_SAMPLES &&
			delay.averageMs > delay.leastMs * QUEUED_DELAY_FACTOR;
	}

	const isDue = nowMs - limit.changedAtMs >= CHANGE_INTERVAL_MS;
	if (isDue && (isRefusedAsFull || delayMs !== undefined)) {
		limit.changedAtMs = nowMs;
		const share = isRefusedAsFull
			? limit.usableShare * REFUSAL_DECREASE_FACTOR
			: isQueued
				? limit.usableShare * DELAY_DECREASE_FACTOR
				: limit.usableShare + INCREASE_STEP;
		limit.usableShare = Math.min(1, Math.max(MIN_USABLE_SHARE, share));
	}

	return limit;
};

/**
 * Returns this daemon's share of the usable slots, less than 1 if there are more daemons than slots.
 *
 * @example
 * ```ts
 * const share = shareOfSlots(limit, {slots: 120, othersInFlight: 0, entryDaemons: 60, isInformed: true}); // 2
 * ```
 */
export const shareOfSlots = (
	{usableShare}: ConcurrencyLimit,
	{slots, entryDaemons}: ServiceCapacity,
): number => (slots * usableShare) / Math.max(1, entryDaemons);

/**
 * Whether this daemon may send one more request to the service. It may while the service has a free slot
 * according to the reports, and up to its own share of the slots in any case. Without servers it may, too,
 * because the choice of a server reports that. The part of its share that is less than a slot becomes free at
 * intervals, see {@link recordStart}.
 *
 * @param inFlight - requests of this daemon in progress at the service.
 * @param expectedMs - expected duration of a request.
 * @example
 * ```ts
 * if (mayStartRequest(limit, capacity, {inFlight: 3, expectedMs: 80}, nowMs)) {
 * 	send();
 * }
 * ```
 */
export const mayStartRequest = (
	limit: ConcurrencyLimit,
	capacity: ServiceCapacity,
	{inFlight, expectedMs}: {inFlight: number; expectedMs: number},
	nowMs: number,
): boolean => {
	const {slots, othersInFlight, isInformed} = capacity;
	if (slots <= 0) {
		return true;
	}

	const free = slots * limit.usableShare - inFlight - othersInFlight;
	if (isInformed && free >= 1) {
		return true;
	}

	const share = shareOfSlots(limit, capacity);
	if (!isInformed) {
		return inFlight < Math.min(limit.startLimit, Math.max(START_LIMIT, share));
	}

	const wholeShare = Math.floor(share);
	if (inFlight < wholeShare) {
		return true;
	}

	const fraction = share - wholeShare;
	const intervalMs = expectedMs / Math.max(MIN_SHARE, fraction);
	const hasExtra = wholeShare === 0 || fraction >= MIN_SHARE;
	return (
		hasExtra &&
		inFlight === wholeShare &&
		nowMs - limit.lastExtraAtMs >= intervalMs
	);
};

/**
 * Records that a request is sent.
 *
 * @param inFlight - requests of this daemon in progress before it.
 * @example
 * ```ts
 * recordStart(limit, capacity, 3, nowMs);
 * ```
 */
export const recordStart = (
	limit: ConcurrencyLimit,
	capacity: ServiceCapacity,
	inFlight: number,
	nowMs: number,
): void => {
	if (inFlight >= Math.floor(shareOfSlots(limit, capacity))) {
		limit.lastExtraAtMs = nowMs;
	}
};
