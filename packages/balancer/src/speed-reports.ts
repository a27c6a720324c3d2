import {SPEED_KINDS, type SpeedKind} from './service-speeds.ts';
import type {SpeedSum} from './speed-evidence.ts';

/** Evidence about the speed of one server, relative to its service. */
export type ReportedSpeed = Readonly<Partial<Record<SpeedKind, SpeedSum>>>;

/** Evidence about servers that differ from their service, by server id. */
export type ReportedSpeeds = Readonly<Record<string, ReportedSpeed>>;

/** Age after which the report of a daemon is discarded, as for loads. */
const MAX_AGE_MS = 1000;

/** Weight up to which one daemon counts, so that a daemon with wrong reports is outvoted. */
const MAX_COUNT_PER_DAEMON = 8;

/** Largest and smallest mean ratio that a report may claim. */
const MAX_REPORTED_RATIO = 8;
const MIN_REPORTED_RATIO = 0.25;

/** Servers that a report names at most, the most certain first: about 1.5 KB. */
const MAX_SERVERS = 32;

/** Reduces a claim to what one daemon may say; nonsense becomes `undefined`. */
const limitClaim = (claim: unknown, maxCount: number): SpeedSum | undefined => {
	const {sum, count} = (claim ?? {}) as Partial<SpeedSum>;
	if (!Number.isFinite(sum) || !Number.isFinite(count) || !(count! > 0)) {
		return undefined;
	}

	const mean = Math.min(
		MAX_REPORTED_RATIO,
		Math.max(MIN_REPORTED_RATIO, sum! / count!),
	);
	const limitedCount = Math.min(maxCount, count!);
	return {sum: mean * limitedCount, count: limitedCount};
};

const roundForReport = (value: number): number => Math.round(value * 100) / 100;

/**
 * Limits a report to the most certain servers and two decimals, which keeps the message small.
 *
 * @example
 * ```ts
 * limitReport({s1: {call: {sum: 10.001, count: 2}}}); // {s1: {call: {sum: 10, count: 2}}}
 * ```
 */
export const limitReport = (
	speeds: ReportedSpeeds,
): Record<string, ReportedSpeed> => {
	const totalOf = (speed: ReportedSpeed) =>
		Object.values(speed).reduce((total, {count}) => total + count, 0);
	const certain = Object.entries(speeds)
		.sort(([, a], [, b]) => totalOf(b) - totalOf(a))
		.slice(0, MAX_SERVERS);
	return Object.fromEntries(
		certain.map(([id, speed]) => [
			id,
			Object.fromEntries(
				Object.entries(speed).map(([kind, {sum, count}]) => [
					kind,
					{sum: roundForReport(sum), count: roundForReport(count)},
				]),
			),
		]),
	);
};

/**
 * Latest reports of daemons about the speed of servers. The load that it answers: hundreds of daemons that
 * each send a server too few requests to learn its speed alone.
 *
 * @example
 * ```ts
 * const reports = new SpeedReports();
 * reports.record('entry-1', {s1: {call: {sum: 10, count: 2}}}, performance.now());
 * reports.sumOfOthers('entry-2', performance.now()); // {s1: {call: {sum: 10, count: 2}}}
 * ```
 */
export class SpeedReports {
	readonly #maxCount: number;
	readonly #reports = new Map<string, {speeds: ReportedSpeeds; atMs: number}>();

	/** @param daemonsPerReport - number of daemons that one report may stand for. */
	constructor({daemonsPerReport = 1}: {daemonsPerReport?: number} = {}) {
		this.#maxCount = MAX_COUNT_PER_DAEMON * daemonsPerReport;
	}

	/** Replaces the report of the daemon `from`. */
	record(from: string, speeds: ReportedSpeeds, nowMs: number): void {
		this.#reports.set(from, {speeds, atMs: nowMs});
	}

	/** Sums the current reports of all daemons except one, and discards outdated reports. */
	sumOfOthers(except: string, nowMs: number): Record<string, ReportedSpeed> {
		const sum: Record<string, ReportedSpeed> = {};
		for (const [from, {speeds, atMs}] of this.#reports) {
			if (nowMs - atMs > MAX_AGE_MS) {
				this.#reports.delete(from);
			} else if (from !== except) {
				addSpeeds(sum, speeds, this.#maxCount);
			}
		}

		return sum;
	}
}

/**
 * Adds reported evidence to a sum and returns the sum.
 *
 * @param maxCount - weight that one added value may have.
 * @example
 * ```ts
 * addSpeeds({}, {s1: {call: {sum: 10, count: 2}}}, 8);
 * ```
 */
export const addSpeeds = (
	sum: Record<string, ReportedSpeed>,
	speeds: ReportedSpeeds,
	maxCount = Infinity,
): Record<string, ReportedSpeed> => {
	for (const [id, speed] of Object.entries(speeds)) {
		const total: Partial<Record<SpeedKind, SpeedSum>> = {...sum[id]};
		for (const kind of SPEED_KINDS) {
			const claim = limitClaim(speed?.[kind], maxCount);
			if (claim) {
				const known = total[kind] ?? {sum: 0, count: 0};
				total[kind] = {
					sum: known.sum + claim.sum,
					count: known.count + claim.count,
				};
			}
		}

		sum[id] = total;
	}

	return sum;
};
