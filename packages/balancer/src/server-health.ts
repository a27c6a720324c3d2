import type {TypicalTimes} from './typical-times.ts';

/** A server that failed is avoided for this time, which doubles with each failure that follows soon. */
const AVOID_FAILED_MS = 1000;

const MAX_AVOID_MS = 4000;

/** Time for which failures add up. */
const FAILURE_MEMORY_MS = 5000;

/** A first piece that takes this many times as long as usual on its route makes a server silent. */
const SILENCE_FACTOR = 5;

/** Least wait that counts as silence: full servers make requests wait as well. */
const MIN_SILENCE_MS = 300;

/** Weight of the last answer in the share of errors, and the share above which a server is avoided. */
const ERROR_WEIGHT = 0.2;
const ERROR_SHARE_LIMIT = 0.3;

/** Weight of the last answer in the pace; larger ratios count as this one. */
const PACE_WEIGHT = 0.3;
const MAX_PACE = 8;

/** A server this much slower than the others differs by its load only. */
const USUAL_PACE = 1.5;

/** Time constant with which an old pace is forgotten, so that a server that was slow is tried again. */
const PACE_MEMORY_MS = 3000;

/** Pieces of a stream from which its pace can be told. */
const MIN_PIECES = 3;

/** How an attempt at a server ended. `cancelled` tells nothing about the server unless it was silent. */
export type AttemptEnd = 'answered' | 'error' | 'failed' | 'cancelled';

/** What an attempt is compared with. */
export type AttemptKeys = {
	/** Requests that take about the same time. */
	route: string;
	/** Streams that have about the same pauses; absent for answers that come whole. */
	streams?: string;
};

/** One request at one server, from sending to its end. */
export type WatchedAttempt = AttemptKeys & {
	sentAtMs: number;
	/** Wait for the first piece after which the server counts as silent. */
	silenceLimitMs: number;
	firstPieceAtMs?: number;
	lastPieceAtMs?: number;
	pieces: number;
};

/** Usual times of all servers that a daemon uses. */
export type UsualTimes = {
	/** Wait for the first piece, by route. */
	firstPiece: TypicalTimes;
	/** Time to the end, by route. */
	whole: TypicalTimes;
	/** Pause between the pieces of a stream, by their kind. */
	pause: TypicalTimes;
};

/**
 * What a daemon observes of one server: whether it keeps silent, fails, answers with errors or is slow.
 * Health answers and the list tell of none of these in time. It answers days on which servers hang,
 * fail a part of their requests or slow down while they count as ready.
 *
 * @example
 * ```ts
 * const attempt = health.begin({route: 'look-up'}, nowMs);
 * health.notePiece(attempt, nowMs + 20);
 * health.end(attempt, 'answered', nowMs + 21);
 * ```
 */
export class ServerHealth {
	readonly #usual: UsualTimes;
	readonly #waiting = new Set<WatchedAttempt>();
	#failuresAtMs: number[] = [];
	#errorShare = 0;
	#pace = 1;
	#paceAtMs = 0;
	#wholeMs = 0;
	#avoidUntilMs = 0;

	constructor(usual: UsualTimes) {
		this.#usual = usual;
	}

	/** A request is sent to the server. */
	begin(keys: AttemptKeys, nowMs: number): WatchedAttempt {
		const usualMs = this.#usual.firstPiece.of(keys.route);
		const attempt: WatchedAttempt = {
			...keys,
			sentAtMs: nowMs,
			silenceLimitMs:
				usualMs === undefined
					? Infinity
					: Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * usualMs),
			pieces: 0,
		};
		this.#waiting.add(attempt);
		return attempt;
	}

	/** A piece of the answer arrived. */
	notePiece(attempt: WatchedAttempt, nowMs: number): void {
		attempt.pieces++;
		attempt.lastPieceAtMs = nowMs;
		if (attempt.firstPieceAtMs === undefined) {
			attempt.firstPieceAtMs = nowMs;
			this.#waiting.delete(attempt);
		}
	}

	/**
	 * The attempt is over.
	 *
	 * @returns for how long the server is avoided because of it, in milliseconds; 0 for not at all.
	 */
	end(attempt: WatchedAttempt, end: AttemptEnd, nowMs: number): number {
		this.#waiting.delete(attempt);
		const waitedMs = nowMs - attempt.sentAtMs;
		const wasSilent =
			attempt.firstPieceAtMs === undefined &&
			waitedMs >= attempt.silenceLimitMs;
		switch (end) {
			case 'failed': {
				return this.#noteFailure(nowMs);
			}

			case 'cancelled': {
				return wasSilent ? this.#noteFailure(nowMs) : 0;
			}

			case 'error': {
				this.#errorShare += (1 - this.#errorShare) * ERROR_WEIGHT;
				return this.#errorShare > ERROR_SHARE_LIMIT
					? this.#noteFailure(nowMs)
					: 0;
			}

			case 'answered': {
				this.#errorShare *= 1 - ERROR_WEIGHT;
				this.#notePace(attempt, nowMs);
				return 0;
			}
		}
	}

	/** Whether requests should rather go elsewhere. */
	isAvoided(nowMs: number): boolean {
		return nowMs < this.#avoidUntilMs || this.#isSilent(nowMs);
	}

	/** By how much longer than usual a request takes here, in milliseconds, beyond what its load explains. */
	slowdownMs(nowMs: number): number {
		if (this.#pace <= USUAL_PACE) {
			return 0;
		}

		const ageMs = nowMs - this.#paceAtMs;
		const pace = 1 + (this.#pace - 1) * Math.exp(-ageMs / PACE_MEMORY_MS);
		return Math.max(0, pace - USUAL_PACE) * this.#wholeMs;
	}

	#isSilent(nowMs: number): boolean {
		for (const {sentAtMs, silenceLimitMs} of this.#waiting) {
			if (nowMs - sentAtMs >= silenceLimitMs) {
				return true;
			}
		}

		return false;
	}

	#noteFailure(nowMs: number): number {
		this.#failuresAtMs = this.#failuresAtMs.filter(
			(atMs) => nowMs - atMs < FAILURE_MEMORY_MS,
		);
		const avoidMs = Math.min(
			MAX_AVOID_MS,
			AVOID_FAILED_MS * 2 ** this.#failuresAtMs.length,
		);
		this.#failuresAtMs.push(nowMs);
		this.#avoidUntilMs = nowMs + avoidMs;
		return avoidMs;
	}

	#notePace(attempt: WatchedAttempt, nowMs: number): void {
		const {firstPiece, whole, pause} = this.#usual;
		const {route, streams, sentAtMs, firstPieceAtMs = nowMs, pieces} = attempt;
		const wholeMs = nowMs - sentAtMs;
		firstPiece.note(route, firstPieceAtMs - sentAtMs);
		whole.note(route, wholeMs);
		let ratio = wholeMs / Math.max(1, whole.of(route)!);
		if (streams !== undefined) {
			if (pieces < MIN_PIECES) {
				return;
			}

			// Streams differ in their number of pieces, hardly in the pause between them.
			const pauseMs = (attempt.lastPieceAtMs! - firstPieceAtMs) / (pieces - 1);
			pause.note(streams, pauseMs);
			ratio = pauseMs / Math.max(1, pause.of(streams)!);
		}

		const age = Math.exp(-(nowMs - this.#paceAtMs) / PACE_MEMORY_MS);
		const known = 1 + (this.#pace - 1) * age;
		this.#pace = known + (Math.min(MAX_PACE, ratio) - known) * PACE_WEIGHT;
		this.#paceAtMs = nowMs;
		this.#wholeMs = whole.of(route)!;
	}
}
