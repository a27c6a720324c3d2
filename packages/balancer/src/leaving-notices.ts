/** How a daemon learns that a server is leaving. */
export type LeavingSource = 'answer' | 'daemon' | 'list';

/**
 * What a daemon knows of the leaving of one instance of a server. The server's own announcement is final for
 * the instance, whatever an older list says; what the list says follows the list; reports of other daemons are
 * kept apart, because a wrong one must not take a server out of use.
 *
 * @example
 * ```ts
 * const notices = new LeavingNotices();
 * notices.recordAnswer(performance.now()); // true
 * notices.leavingSinceMs; // the time of the announcement
 * ```
 */
export class LeavingNotices {
	#listedAtMs: number | undefined;
	#answeredAtMs: number | undefined;
	#reportedAtMs: number | undefined;

	/** Time at which this daemon learnt it from the list or from the server; `undefined` if it did not. */
	get leavingSinceMs(): number | undefined {
		return this.#listedAtMs === undefined || this.#answeredAtMs === undefined
			? (this.#listedAtMs ?? this.#answeredAtMs)
			: Math.min(this.#listedAtMs, this.#answeredAtMs);
	}

	/** Time of the server's own announcement to this daemon. */
	get answeredAtMs(): number | undefined {
		return this.#answeredAtMs;
	}

	/** Whether nobody says that the server is leaving. */
	get isStaying(): boolean {
		return (
			this.#listedAtMs === undefined &&
			this.#answeredAtMs === undefined &&
			this.#reportedAtMs === undefined
		);
	}

	/**
	 * Applies the state in the list of servers.
	 *
	 * @returns whether the server is listed as leaving for the first time.
	 */
	setListed(isLeaving: boolean, nowMs: number): boolean {
		const isNew = isLeaving && this.#listedAtMs === undefined;
		this.#listedAtMs = isLeaving ? (this.#listedAtMs ?? nowMs) : undefined;
		return isNew;
	}

	/**
	 * Records the announcement of the server in a response to this daemon.
	 *
	 * @returns whether it is the first one.
	 */
	recordAnswer(nowMs: number): boolean {
		const isNew = this.#answeredAtMs === undefined;
		this.#answeredAtMs ??= nowMs;
		return isNew;
	}

	/**
	 * Records that the server announced it to another daemon.
	 *
	 * @returns whether this daemon did not know it from anywhere.
	 */
	recordReport(atMs: number): boolean {
		const isNew = this.isStaying;
		this.#reportedAtMs ??= atMs;
		return isNew;
	}
}
