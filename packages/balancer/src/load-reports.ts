/** Number of in-flight requests by server id. */
export type InFlightByServer = Readonly<Record<string, number>>;

/** Age after which the report of a daemon is discarded. */
const MAX_AGE_MS = 1000;

/**
 * Latest reports of daemons about their in-flight requests.
 *
 * @example
 * ```ts
 * const reports = new LoadReports();
 * reports.record('entry-1', {s1: 3}, performance.now());
 * reports.sumOfOthers('entry-2', performance.now()); // {s1: 3}
 * ```
 */
export class LoadReports {
	readonly #reports = new Map<
		string,
		{inFlight: InFlightByServer; atMs: number}
	>();

	/** Replaces the report of the daemon `from`. */
	record(from: string, inFlight: InFlightByServer, nowMs: number): void {
		this.#reports.set(from, {inFlight, atMs: nowMs});
	}

	/** Sums the current reports of all daemons except one, and discards outdated reports. */
	sumOfOthers(except: string, nowMs: number): Record<string, number> {
		const sum: Record<string, number> = {};
		for (const [from, {inFlight, atMs}] of this.#reports) {
			if (nowMs - atMs > MAX_AGE_MS) {
				this.#reports.delete(from);
			} else if (from !== except) {
				for (const [id, count] of Object.entries(inFlight)) {
					sum[id] = (sum[id] ?? 0) + count;
				}
			}
		}

		return sum;
	}
}
