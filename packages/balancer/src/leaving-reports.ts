/** Ages in milliseconds of the announcements of leaving servers, by the key of the instance. */
export type ReportedLeaving = Readonly<Record<string, number>>;

/** Age after which an announcement is not reported any more; daemons that received it keep it. */
const MAX_AGE_MS = 5000;

/**
 * Returns the announcements that are recent enough for a report.
 *
 * @example
 * ```ts
 * reportLeaving([['s1 10.0.0.9:80 1', 100]], 150); // {'s1 10.0.0.9:80 1': 50}
 * ```
 */
export const reportLeaving = (
	announcedAtMs: Iterable<readonly [key: string, atMs: number]>,
	nowMs: number,
): Record<string, number> => {
	const ages: Record<string, number> = {};
	for (const [key, atMs] of announcedAtMs) {
		if (nowMs - atMs <= MAX_AGE_MS) {
			ages[key] = nowMs - atMs;
		}
	}

	return ages;
};

/**
 * Recent announcements of leaving servers, as reported by daemons. Each is forgotten after a few seconds, so
 * that the reports stay small, also for servers that announce it for ever.
 *
 * @example
 * ```ts
 * const reports = new LeavingReports();
 * reports.record({'s1 10.0.0.9:80 1': 20}, performance.now());
 * reports.report(performance.now()); // {'s1 10.0.0.9:80 1': 20}
 * ```
 */
export class LeavingReports {
	readonly #announcedAtMs = new Map<string, number>();

	record(ages: ReportedLeaving, nowMs: number): void {
		for (const [key, ageMs] of Object.entries(ages)) {
			if (!this.#announcedAtMs.has(key)) {
				this.#announcedAtMs.set(key, nowMs - ageMs);
			}
		}
	}

	/** Returns the recent announcements and forgets the others. */
	report(nowMs: number): Record<string, number> {
		const ages = reportLeaving(this.#announcedAtMs, nowMs);
		for (const key of this.#announcedAtMs.keys()) {
			if (ages[key] === undefined) {
				this.#announcedAtMs.delete(key);
			}
		}

		return ages;
	}
}
