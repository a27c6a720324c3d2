import type {RateStatement} from './rate-share.ts';

/** A statement as daemons exchange it, with its age instead of a time. */
export type ReportedRate = {
	/** Absent if the server states no limit any more. */
	requestsPerSecond?: number;
	ageMs: number;
};

/** Reported statements by server id. */
export type ReportedRates = Readonly<Record<string, ReportedRate>>;

/** Age after which a statement is not reported any more; daemons that received it keep it. */
const MAX_AGE_MS = 5000;

/**
 * Returns a statement for a report, unless it is too old.
 *
 * @example
 * ```ts
 * const report = reportRate({requestsPerSecond: 4, atMs: 100}, 150); // {requestsPerSecond: 4, ageMs: 50}
 * ```
 */
export const reportRate = (
	{requestsPerSecond, atMs}: RateStatement,
	nowMs: number,
): ReportedRate | undefined =>
	nowMs - atMs > MAX_AGE_MS
		? undefined
		: {
				...(requestsPerSecond !== undefined && {requestsPerSecond}),
				ageMs: nowMs - atMs,
			};

/**
 * Latest statements of the servers about their request rate, as reported by daemons.
 *
 * @example
 * ```ts
 * const statements = new RateStatements();
 * statements.record({s1: {requestsPerSecond: 4, ageMs: 20}}, performance.now());
 * statements.report(performance.now()); // {s1: {requestsPerSecond: 4, ageMs: 20}}
 * ```
 */
export class RateStatements {
	readonly #statements = new Map<string, RateStatement>();

	/** Records reported statements; older ones than the known ones are ignored. */
	record(rates: ReportedRates, nowMs: number): void {
		for (const [id, {requestsPerSecond, ageMs}] of Object.entries(rates)) {
			const atMs = nowMs - ageMs;
			if (atMs > (this.#statements.get(id)?.atMs ?? -Infinity)) {
				this.#statements.set(id, {requestsPerSecond, atMs});
			}
		}
	}

	/** Returns the recent statements and forgets the others. */
	report(nowMs: number): Record<string, ReportedRate> {
		const rates: Record<string, ReportedRate> = {};
		for (const [id, statement] of this.#statements) {
			const rate = reportRate(statement, nowMs);
			if (rate) {
				rates[id] = rate;
			} else {
				this.#statements.delete(id);
			}
		}

		return rates;
	}
}
