import {MedianDurations} from './median-durations.ts';
import type {ServerSpeed} from './server-speed.ts';
import type {SpeedSum} from './speed-evidence.ts';

/** What is measured: a plain call, a stream event, or reading a prompt token. */
export type SpeedKind = 'call' | 'event' | 'read';

export const SPEED_KINDS: readonly SpeedKind[] = ['call', 'event', 'read'];

/**
 * Factor by which a server must differ from its service to be treated and reported as different. Below it,
 * the numbers of requests in progress balance the servers well enough.
 */
export const MIN_SPEED_FACTOR = 1.25;

/** Limits of the factor. The lower one keeps quick failures that look like responses from attracting work. */
const MAX_FACTOR = 8;
const LEAST_FACTOR = 0.5;

/**
 * Time for which a service counts as uneven after no server differs any more, so that the choice does not
 * alternate while estimates are near the threshold.
 */
const UNEVEN_MS = 30_000;

/**
 * Time for which a server must differ without interruption before the service counts as uneven. Daemons that
 * follow the same reports fill servers in turn, which looks like a difference for a few hundred ms.
 */
export const CONFIRM_MS = 1000;

/** Share of the thresholds down to which a server that differed still differs. */
const HYSTERESIS_SHARE = 0.7;

/**
 * Standard errors by which a server must differ. With 3, bursts behind reports of 200 ms ago made equal servers
 * look different for half of the time in `npm run measure -- placement`.
 */
const MIN_ERRORS = 4;

/** Weight of the prior, in requests. */
const PRIOR_COUNT = 2;

/** Evidence that a server needs to count in the prior of its zone, and number of such servers. */
const MIN_ZONE_COUNT = 5;
const MIN_ZONE_SERVERS = 3;

/** Weight of the reports of all other daemons together, in requests. */
const MAX_OTHERS_COUNT = 60;

/** Interval at which the factors are computed anew. */
const REFRESH_INTERVAL_MS = 200;

/** Spread that is assumed before any measurement, and weight of a new sample. */
const INITIAL_SPREAD = 0.5;
const SPREAD_WEIGHT = 0.02;

/** Largest relative deviation of a sample in the spread, so that a server that slows down adds little. */
const MAX_DEVIATION = 2;

/** Occupancies below one are compared in this many levels. */
const LEVELS = 4;

type RelativeEvidence = SpeedSum & {server: ServerSpeed};

const findLevel = (occupancy: number): number =>
	Math.max(0, Math.ceil(Math.min(1, occupancy) * LEVELS) - 1);

/** Geometric mean of the two middle values. */
const findMedian = (values: readonly number[]): number | undefined => {
	if (values.length === 0) {
		return undefined;
	}

	const sorted = [...values].sort((a, b) => a - b);
	const middle = (sorted.length - 1) / 2;
	return Math.sqrt(sorted[Math.floor(middle)]! * sorted[Math.ceil(middle)]!);
};

/**
 * Compares the servers of one service by their durations at the same occupancy. The load that it answers:
 * servers that differ in speed by a factor of two, or slow down five times for seconds, while the number of
 * requests in progress alone sends them as much work as their slots hold.
 *
 * @example
 * ```ts
 * const speeds = new ServiceSpeeds();
 * const speed = new ServerSpeed(speeds, {zone: 'a', latencyMs: 0, occupancy: () => 0.5});
 * speed.recordCall('look-up', 0.5, 40, nowMs);
 * ```
 */
export class ServiceSpeeds {
	readonly servers = new Set<ServerSpeed>();
	readonly #medians = new MedianDurations();
	readonly #variances = new Map<SpeedKind, number>();
	#refreshedAtMs = Number.NEGATIVE_INFINITY;
	#unevenUntilMs = Number.NEGATIVE_INFINITY;
	#references: Partial<Record<SpeedKind, number>> = {};

	/** Whether a server differs from the service, or did so recently. */
	isUneven(nowMs: number): boolean {
		this.#refresh(nowMs);
		return nowMs < this.#unevenUntilMs;
	}

	/** Ratio to the expected durations of this daemon that is normal for the service. */
	reference(kind: SpeedKind): number {
		return this.#references[kind] ?? 1;
	}

	/** Usual time that a request takes on a server of normal speed that has a free slot. */
	usualMs(kind: 'call' | 'event'): number {
		return this.#medians.get(`usual ${kind}`) ?? 0;
	}

	/** @param durationMs - time of a plain call, or from the first to the last event of a stream. */
	recordUsual(kind: 'call' | 'event', durationMs: number): void {
		this.#medians.record(`usual ${kind}`, durationMs);
	}

	spread(kind: SpeedKind): number {
		return Math.sqrt(this.#variances.get(kind) ?? INITIAL_SPREAD ** 2);
	}

	/**
	 * Returns the duration that is expected at an occupancy: the median at the same level, or at the nearest
	 * lower one; beyond the slots, it grows with the wait for a slot.
	 */
	expectedMs(
		kind: SpeedKind,
		group: string,
		occupancy: number,
	): number | undefined {
		const level = findLevel(occupancy);
		for (let offset = 0; offset < LEVELS; offset++) {
			const other = offset <= level ? level - offset : offset;
			const medianMs = this.#medians.get(`${kind} ${group} ${other}`);
			if (medianMs !== undefined) {
				return medianMs * Math.max(1, occupancy);
			}
		}

		return undefined;
	}

	/** @returns the ratio to the duration that was expected; `undefined` for the first sample of a group. */
	recordDuration(
		kind: SpeedKind,
		group: string,
		occupancy: number,
		durationMs: number,
	): number | undefined {
		const expectedMs = this.expectedMs(kind, group, occupancy);
		this.#medians.record(
			`${kind} ${group} ${findLevel(occupancy)}`,
			durationMs / Math.max(1, occupancy),
		);
		return expectedMs === undefined ? undefined : durationMs / expectedMs;
	}

	/** Records how much a ratio deviates from the mean of its server. */
	recordDeviation(kind: SpeedKind, deviation: number): void {
		const square = Math.min(MAX_DEVIATION, Math.abs(deviation)) ** 2;
		const variance = this.#variances.get(kind) ?? INITIAL_SPREAD ** 2;
		this.#variances.set(kind, variance + (square - variance) * SPREAD_WEIGHT);
	}

	#refresh(nowMs: number): void {
		if (nowMs - this.#refreshedAtMs < REFRESH_INTERVAL_MS) {
			return;
		}

		this.#refreshedAtMs = nowMs;
		for (const kind of SPEED_KINDS) {
			this.#refreshKind(kind, nowMs);
		}
	}

	#refreshKind(kind: SpeedKind, nowMs: number): void {
		const relative = this.#sumEvidence(kind, nowMs);
		const priors = this.#findZonePriors(relative);
		for (const {server, sum, count} of relative) {
			const prior = priors.get(server.zone) ?? 1;
			const mean = (PRIOR_COUNT * prior + sum) / (PRIOR_COUNT + count);
			const error =
				(MIN_ERRORS * this.spread(kind)) / Math.sqrt(PRIOR_COUNT + count);
			const threshold = Math.max(
				Math.log(MIN_SPEED_FACTOR),
				prior === 1 ? error : 0,
			);
			const share = server.getFactor(kind) === 1 ? 1 : HYSTERESIS_SHARE;
			const isDifferent = Math.abs(Math.log(mean)) > threshold * share;
			const factor = isDifferent
				? Math.min(MAX_FACTOR, Math.max(LEAST_FACTOR, mean))
				: 1;
			server.setFactor(kind, factor, nowMs);
			if (server.hasDifferedFor(kind, nowMs) >= CONFIRM_MS) {
				this.#unevenUntilMs = nowMs + UNEVEN_MS;
			}
		}
	}

	/** Evidence of all daemons about each server, relative to the service. */
	#sumEvidence(kind: SpeedKind, nowMs: number): RelativeEvidence[] {
		const sums = [...this.servers].map((server) => ({
			server,
			own: server.read(kind, nowMs),
			others: server.others[kind] ?? {sum: 0, count: 0},
		}));
		const reference = findMedian(
			sums
				.filter(({own}) => own.count >= 1)
				.map(({own}) => Math.max(0.01, own.sum / own.count)),
		);
		this.#references[kind] = reference;
		return sums.map(({server, own, others}) => {
			const scale = Math.min(1, MAX_OTHERS_COUNT / Math.max(1, others.count));
			return {
				server,
				sum: own.sum / (reference ?? 1) + others.sum * scale,
				count: own.count + others.count * scale,
			};
		});
	}

	/** Zones whose servers differ together from the service, as for a zone with older machines. */
	#findZonePriors(relative: readonly RelativeEvidence[]): Map<string, number> {
		const means = new Map<string, number[]>();
		for (const {server, sum, count} of relative) {
			if (count >= MIN_ZONE_COUNT) {
				const known = means.get(server.zone) ?? [];
				known.push(Math.max(0.01, sum / count));
				means.set(server.zone, known);
			}
		}

		const priors = new Map<string, number>();
		for (const [zone, values] of means) {
			const median = findMedian(values) ?? 1;
			// Twice the threshold, because the zone speaks for servers that were not measured.
			if (
				values.length >= MIN_ZONE_SERVERS &&
				Math.abs(Math.log(median)) > 2 * Math.log(MIN_SPEED_FACTOR)
			) {
				priors.set(zone, median);
			}
		}

		return priors;
	}
}
