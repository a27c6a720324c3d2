/** Requests under way by server. */
export type InFlightByServer = Readonly<Record<string, number>>;

/** Age after which what a daemon told of its load counts no more. */
const MAX_AGE_MS = 1000;

/**
 * What several daemons last told of the requests that they have under way.
 *
 * @example
 * ```ts
 * const ledger = new LoadLedger();
 * ledger.note('entry-1', {s1: 3}, performance.now());
 * ledger.sumOfOthers('entry-2', performance.now()); // {s1: 3}
 * ```
 */
export class LoadLedger {
	readonly #told = new Map<
		string,
		{inFlight: InFlightByServer; atMs: number}
	>();

	note(from: string, inFlight: InFlightByServer, nowMs: number): void {
		this.#told.set(from, {inFlight, atMs: nowMs});
	}

	/** Adds up what all daemons but one told lately, and forgets the others. */
	sumOfOthers(except: string, nowMs: number): Record<string, number> {
		const sum: Record<string, number> = {};
		for (const [from, {inFlight, atMs}] of this.#told) {
			if (nowMs - atMs > MAX_AGE_MS) {
				this.#told.delete(from);
			} else if (from !== except) {
				for (const [id, count] of Object.entries(inFlight)) {
					sum[id] = (sum[id] ?? 0) + count;
				}
			}
		}

		return sum;
	}
}
