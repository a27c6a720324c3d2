import type {DaemonRanking} from './daemon-ranking.ts';

/** What a server stated about the rate at which all daemons together may send requests to it. */
export type RateStatement = {
	/** Requests per second; `undefined` if the server states no limit. */
	requestsPerSecond: number | undefined;
	/** Monotonic time of the statement. */
	atMs: number;
};

/** Lowest rate that is used, so that a daemon notices when a server raises its limit. */
const MIN_REQUESTS_PER_SECOND = 0.1;

/**
 * Number of daemons that share a limit, for each request per second of it, and beyond. Each of them may send
 * one request at any moment, however long it has sent none, so that their number bounds the requests that a
 * server receives at once.
 */
const DAEMONS_PER_RATE = 1.5;
const EXTRA_DAEMONS = 3;

const countSharers = (requestsPerSecond: number, daemonCount: number) =>
	Math.max(
		1,
		Math.min(
			daemonCount,
			Math.floor(requestsPerSecond * DAEMONS_PER_RATE) + EXTRA_DAEMONS,
		),
	);

/**
 * The share of this daemon in the request rate that a server accepts from all daemons together. The first
 * daemons of the server's ranking get equal shares, the others none. A daemon with a share may send one
 * request per interval; permits do not accumulate, and the first permits of the daemons are spread over the
 * interval.
 *
 * The load that it answers: servers that state a limit of a few requests per second while many daemons, which
 * do not know of each other's requests, prefer them for the prompts that they cache.
 *
 * @example
 * ```ts
 * const share = new RateShare(idHash);
 * share.recordStatement({requestsPerSecond: 4, atMs: nowMs}, ranking, nowMs);
 * if (share.nextPermitAtMs <= nowMs) {
 * 	share.recordSent(nowMs);
 * }
 * ```
 */
export class RateShare {
	readonly #serverHash: number;
	#statement: RateStatement = {
		requestsPerSecond: undefined,
		atMs: Number.NEGATIVE_INFINITY,
	};

	/** Time between two requests of this daemon; 0 without a limit, `Infinity` without a share. */
	#intervalMs = 0;
	#nextPermitAtMs = 0;
	#hasStatedLimit = false;
	#lastSentAtMs = Number.NEGATIVE_INFINITY;

	/** @param serverHash - hash of the server's id, the same on all daemons. */
	constructor(serverHash: number) {
		this.#serverHash = serverHash;
	}

	/** The latest statement of the server. */
	get statement(): RateStatement {
		return this.#statement;
	}

	/** Whether the server states a limit. */
	get isLimited(): boolean {
		return this.#statement.requestsPerSecond !== undefined;
	}

	/** Whether the server ever stated a limit; only such servers are reported to other daemons. */
	get hasStatedLimit(): boolean {
		return this.#hasStatedLimit;
	}

	/** Time between two requests of this daemon; 0 without a limit, `Infinity` without a share. */
	get intervalMs(): number {
		return this.#intervalMs;
	}

	/** Monotonic time from which this daemon may send a request; `Infinity` without a share. */
	get nextPermitAtMs(): number {
		return this.#nextPermitAtMs;
	}

	/**
	 * Records a statement of the server, from a response to this or to another daemon. Older statements than
	 * the latest one are ignored.
	 *
	 * @returns whether the limit changed.
	 */
	recordStatement(
		statement: RateStatement,
		ranking: DaemonRanking,
		nowMs: number,
	): boolean {
		if (statement.atMs <= this.#statement.atMs) {
			return false;
		}

		const isChanged =
			statement.requestsPerSecond !== this.#statement.requestsPerSecond;
		this.#statement = statement;
		this.#hasStatedLimit ||= this.isLimited;
		if (isChanged) {
			this.updateShare(ranking, nowMs);
		}

		return isChanged;
	}

	/** Derives the share of this daemon again, after the limit or the daemons changed. */
	updateShare(ranking: DaemonRanking, nowMs: number): void {
		const {requestsPerSecond} = this.#statement;
		if (requestsPerSecond === undefined) {
			this.#intervalMs = 0;
			this.#nextPermitAtMs = 0;
			return;
		}

		const rate = Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond);
		const sharers = countSharers(rate, ranking.count);
		const rank = ranking.rank(this.#serverHash);
		if (rank === undefined || rank >= sharers) {
			this.#intervalMs = Infinity;
			this.#nextPermitAtMs = Infinity;
			return;
		}

		const hadShare = this.#intervalMs > 0 && this.#intervalMs < Infinity;
		this.#intervalMs = (sharers * 1000) / rate;
		this.#nextPermitAtMs = Math.max(
			this.#lastSentAtMs + this.#intervalMs,
			hadShare ? nowMs : nowMs + ((rank + 1) * 1000) / rate,
		);
	}

	/** Records that this daemon sends a request to the server. */
	recordSent(nowMs: number): void {
		this.#lastSentAtMs = nowMs;
		if (this.isLimited) {
			this.#nextPermitAtMs = nowMs + this.#intervalMs;
		}
	}
}
