import type {DurationAverages} from './duration-averages.ts';
import {
	EVENTS_PER_SAMPLE,
	type ServerSpeed,
	type TimedRequest,
} from './server-speed.ts';

/** Time for which a server is avoided after a failure; it doubles with each further failure in the window. */
const BASE_AVOID_MS = 1000;

const MAX_AVOID_MS = 4000;

/** Time for which a failure counts towards the doubling. */
const FAILURE_WINDOW_MS = 5000;

/** A server is unresponsive when the first chunk takes this many times the average of its route. */
const UNRESPONSIVE_FACTOR = 5;

/** Minimum wait for an unresponsive server, because busy servers also delay requests. */
const MIN_UNRESPONSIVE_MS = 300;

/** Weight of the latest response in the error rate, and the rate above which a server is avoided. */
const ERROR_WEIGHT = 0.2;
const MAX_ERROR_RATE = 0.3;

/** Weight of the latest response in the duration ratio, and the limit that larger ratios are reduced to. */
const RATIO_WEIGHT = 0.3;
const MAX_RATIO = 8;

/** Largest duration ratio that is attributed to load rather than to a slow server. */
const MAX_NORMAL_RATIO = 1.5;

/** Time constant with which the duration ratio decays towards 1, so that a slow server is tried again. */
const RATIO_DECAY_MS = 3000;

/** Minimum number of chunks for measuring the gap between the chunks of a stream. */
const MIN_CHUNKS = 3;

/** Outcome of an attempt. `cancelled` says nothing about the server unless it was unresponsive. */
export type AttemptOutcome = 'answered' | 'error' | 'failed' | 'cancelled';

/** Keys of the averages that an attempt is compared with. */
export type BaselineKeys = {
	/** Group of requests with similar durations. */
	route: string;
	/** Group of streams with similar gaps between chunks; absent for responses that are not streamed. */
	streamGroup?: string;
	/** Prompt tokens that the server presumably has to read; absent if there is no prompt. */
	uncachedTokens?: number;
};

/** A request to one server, from sending it to its end. */
export type ObservedAttempt = BaselineKeys & {
	sentAtMs: number;
	/** Wait for the first chunk after which the server counts as unresponsive. */
	unresponsiveAfterMs: number;
	firstChunkAtMs?: number;
	lastChunkAtMs?: number;
	chunkCount: number;
	/** Requests per slot of the server when it was sent, including this one. */
	occupancy: number;
	/** Chunk from which the current gap between chunks is measured. */
	gapStart: {atMs: number; chunkCount: number};
	timedCall?: TimedRequest;
};

/** Average durations over all servers that a daemon uses. */
export type BaselineDurations = {
	/** Time to the first chunk, by route. */
	firstChunk: DurationAverages;
	/** Time to the end of the response, by route. */
	total: DurationAverages;
	/** Time between two chunks of a stream, by `BaselineKeys.streamGroup`. */
	chunkGap: DurationAverages;
};

/**
 * Passive health checks of one server: whether it is unresponsive, fails, returns errors or is slow.
 * They detect servers that hang, fail some of their requests or slow down while they still count as
 * ready; active health checks and the server list do not show this in time.
 *
 * @example
 * ```ts
 * const attempt = health.begin({route: 'look-up'}, nowMs);
 * health.recordChunk(attempt, nowMs + 20);
 * health.end(attempt, 'answered', nowMs + 21);
 * ```
 */
export class ServerHealth {
	readonly #baseline: BaselineDurations;
	readonly #pending = new Set<ObservedAttempt>();
	#failuresAtMs: number[] = [];
	#errorRate = 0;
	#durationRatio = 1;
	#ratioAtMs = 0;
	#averageTotalMs = 0;
	#avoidUntilMs = 0;
	readonly #speed: ServerSpeed | undefined;

	/** @param speed - receives the measured durations. */
	constructor(baseline: BaselineDurations, speed?: ServerSpeed) {
		this.#baseline = baseline;
		this.#speed = speed;
	}

	/** Records that a request is sent to the server. */
	begin(keys: BaselineKeys, nowMs: number): ObservedAttempt {
		const averageMs = this.#baseline.firstChunk.get(keys.route);
		const attempt: ObservedAttempt = {
			...keys,
			sentAtMs: nowMs,
			unresponsiveAfterMs:
				averageMs === undefined
					? Infinity
					: Math.max(MIN_UNRESPONSIVE_MS, UNRESPONSIVE_FACTOR * averageMs),
			chunkCount: 0,
			occupancy: this.#speed?.occupancy ?? 0,
			gapStart: {atMs: nowMs, chunkCount: 0},
			timedCall:
				keys.streamGroup === undefined
					? this.#speed?.beginCall(keys.route, nowMs)
					: undefined,
		};
		this.#pending.add(attempt);
		return attempt;
	}

	/** Records the arrival of a chunk of the response. */
	recordChunk(attempt: ObservedAttempt, nowMs: number): void {
		attempt.chunkCount++;
		attempt.lastChunkAtMs = nowMs;
		if (attempt.firstChunkAtMs === undefined) {
			attempt.firstChunkAtMs = nowMs;
			attempt.gapStart = {atMs: nowMs, chunkCount: attempt.chunkCount};
			this.#pending.delete(attempt);
		} else if (
			attempt.chunkCount - attempt.gapStart.chunkCount >=
			EVENTS_PER_SAMPLE
		) {
			this.#recordGap(attempt, nowMs);
		}
	}

	/**
	 * Records the end of an attempt.
	 *
	 * @returns time in milliseconds for which the server is avoided as a result, or 0.
	 */
	end(
		attempt: ObservedAttempt,
		outcome: AttemptOutcome,
		nowMs: number,
	): number {
		this.#pending.delete(attempt);
		this.#recordSpeed(attempt, outcome, nowMs);
		const waitedMs = nowMs - attempt.sentAtMs;
		const wasUnresponsive =
			attempt.firstChunkAtMs === undefined &&
			waitedMs >= attempt.unresponsiveAfterMs;
		switch (outcome) {
			case 'failed': {
				return this.#recordFailure(nowMs);
			}

			case 'cancelled': {
				return wasUnresponsive ? this.#recordFailure(nowMs) : 0;
			}

			case 'error': {
				this.#errorRate += (1 - this.#errorRate) * ERROR_WEIGHT;
				return this.#errorRate > MAX_ERROR_RATE
					? this.#recordFailure(nowMs)
					: 0;
			}

			case 'answered': {
				this.#errorRate *= 1 - ERROR_WEIGHT;
				this.#recordDuration(attempt, nowMs);
				return 0;
			}
		}
	}

	/** Whether requests should be sent to other servers. */
	isAvoided(nowMs: number): boolean {
		return nowMs < this.#avoidUntilMs || this.#isUnresponsive(nowMs);
	}

	/**
	 * Returns how much longer than average a request takes on this server, in milliseconds, beyond the
	 * effect of load.
	 */
	slowdownMs(nowMs: number): number {
		if (this.#durationRatio <= MAX_NORMAL_RATIO) {
			return 0;
		}

		const ageMs = nowMs - this.#ratioAtMs;
		const ratio =
			1 + (this.#durationRatio - 1) * Math.exp(-ageMs / RATIO_DECAY_MS);
		return Math.max(0, ratio - MAX_NORMAL_RATIO) * this.#averageTotalMs;
	}

	#isUnresponsive(nowMs: number): boolean {
		for (const {sentAtMs, unresponsiveAfterMs} of this.#pending) {
			if (nowMs - sentAtMs >= unresponsiveAfterMs) {
				return true;
			}
		}

		return false;
	}

	#recordFailure(nowMs: number): number {
		this.#failuresAtMs = this.#failuresAtMs.filter(
			(atMs) => nowMs - atMs < FAILURE_WINDOW_MS,
		);
		const avoidMs = Math.min(
			MAX_AVOID_MS,
			BASE_AVOID_MS * 2 ** this.#failuresAtMs.length,
		);
		this.#failuresAtMs.push(nowMs);
		this.#avoidUntilMs = nowMs + avoidMs;
		return avoidMs;
	}

	#recordGap(attempt: ObservedAttempt, nowMs: number): void {
		const {streamGroup, chunkCount, gapStart} = attempt;
		if (streamGroup !== undefined) {
			const gapMs =
				(nowMs - gapStart.atMs) / (chunkCount - gapStart.chunkCount);
			this.#speed?.recordGap(streamGroup, gapMs, nowMs);
		}

		attempt.gapStart = {atMs: nowMs, chunkCount};
	}

	#recordSpeed(
		attempt: ObservedAttempt,
		outcome: AttemptOutcome,
		nowMs: number,
	): void {
		this.#speed?.endCall(attempt.timedCall);
		if (outcome === 'failed' || outcome === 'error') {
			const kind = attempt.streamGroup === undefined ? 'call' : 'event';
			this.#speed?.recordFailure(kind, nowMs);
		} else if (outcome === 'answered') {
			this.#recordAnswerSpeed(attempt, nowMs);
		}
	}

	#recordAnswerSpeed(attempt: ObservedAttempt, nowMs: number): void {
		const {route, streamGroup, sentAtMs, firstChunkAtMs, occupancy} = attempt;
		if (!this.#speed || streamGroup === undefined) {
			this.#speed?.recordCall(route, occupancy, nowMs - sentAtMs, nowMs);
			return;
		}

		if (firstChunkAtMs === undefined || attempt.chunkCount < MIN_CHUNKS) {
			return;
		}

		const lastChunkAtMs = attempt.lastChunkAtMs!;
		if (attempt.chunkCount - attempt.gapStart.chunkCount >= MIN_CHUNKS - 1) {
			this.#recordGap(attempt, lastChunkAtMs);
		}

		this.#speed.service.recordUsual('event', lastChunkAtMs - firstChunkAtMs);
		this.#speed.recordRead(
			streamGroup,
			{
				tokens: attempt.uncachedTokens ?? 0,
				occupancy,
				ms: firstChunkAtMs - sentAtMs,
			},
			nowMs,
		);
	}

	#recordDuration(attempt: ObservedAttempt, nowMs: number): void {
		const {firstChunk, total, chunkGap} = this.#baseline;
		const {
			route,
			streamGroup: streams,
			sentAtMs,
			firstChunkAtMs = nowMs,
			chunkCount,
		} = attempt;
		const totalMs = nowMs - sentAtMs;
		firstChunk.record(route, firstChunkAtMs - sentAtMs);
		total.record(route, totalMs);
		let ratio = totalMs / Math.max(1, total.get(route)!);
		if (streams !== undefined) {
			if (chunkCount < MIN_CHUNKS) {
				return;
			}

			// Streams differ in their number of chunks, but hardly in the gap between chunks.
			const gapMs =
				(attempt.lastChunkAtMs! - firstChunkAtMs) / (chunkCount - 1);
			chunkGap.record(streams, gapMs);
			ratio = gapMs / Math.max(1, chunkGap.get(streams)!);
		}

		const decay = Math.exp(-(nowMs - this.#ratioAtMs) / RATIO_DECAY_MS);
		const decayedRatio = 1 + (this.#durationRatio - 1) * decay;
		this.#durationRatio =
			decayedRatio + (Math.min(MAX_RATIO, ratio) - decayedRatio) * RATIO_WEIGHT;
		this.#ratioAtMs = nowMs;
		this.#averageTotalMs = total.get(route)!;
	}
}
