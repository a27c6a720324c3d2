import {
	CONFIRM_MS,
	type ServiceSpeeds,
	type SpeedKind,
	SPEED_KINDS,
} from './service-speeds.ts';
import {SpeedEvidence, type SpeedSum} from './speed-evidence.ts';
import type {ReportedSpeed} from './speed-reports.ts';

/** Ratio that a failed request counts as, so that failing quickly makes a server look slow and not fast. */
const FAILURE_RATIO = 4;

/** Largest excess that one request in progress adds. */
const MAX_PENDING_EXCESS = 8;

/** Events over which the gap between events is measured while a stream runs. */
export const EVENTS_PER_SAMPLE = 16;

/** Weight of one gap, because the gaps of one stream differ less than those of several. */
const GAP_WEIGHT = 0.25;

/** Weight of a call that waited for a slot, because the wait is known less exactly than the call. */
const QUEUED_WEIGHT = 0.25;

/** Prompt tokens from which the time to the first event tells the speed of reading them. */
const MIN_READ_TOKENS = 500;

/** A request in progress, as far as its duration is concerned. */
export type TimedRequest = {sentAtMs: number; expectedMs: number};

/** How a server differs from its service; 2 for one that takes twice as long. */
export type SpeedFactors = Record<SpeedKind, number>;

const EVEN: SpeedFactors = {call: 1, event: 1, read: 1};

/**
 * Speed of one server, learnt apart from its load: each duration is compared with what the service takes at
 * the same occupancy. Requests in progress that take longer than expected count before they end.
 *
 * @example
 * ```ts
 * const speed = new ServerSpeed(service, {zone: 'a', latencyMs: 0, occupancy: () => 0.5});
 * speed.recordCall('look-up', 0.5, 40, nowMs);
 * speed.factors(nowMs).call; // 1
 * ```
 */
export class ServerSpeed {
	readonly zone: string;
	/** Evidence of other daemons, relative to the service. */
	others: ReportedSpeed = {};
	/** When this daemon last sent it a request. */
	lastSentAtMs = 0;
	readonly #service: ServiceSpeeds;
	readonly #latencyMs: number;
	readonly #occupancy: () => number;
	readonly #evidence: Record<SpeedKind, SpeedEvidence> = {
		call: new SpeedEvidence(),
		event: new SpeedEvidence(),
		read: new SpeedEvidence(),
	};

	#isAnnounced = false;
	readonly #pendingCalls = new Set<TimedRequest>();
	readonly #factors: SpeedFactors = {...EVEN};
	readonly #differsSinceMs: Partial<Record<SpeedKind, number>> = {};

	/**
	 * @param options.latencyMs - network time to the zone of the server, which its speed doesn't explain.
	 * @param options.occupancy - requests in progress, including the one that is being sent, per slot.
	 */
	constructor(
		service: ServiceSpeeds,
		{
			zone,
			latencyMs,
			occupancy,
		}: {zone: string; latencyMs: number; occupancy: () => number},
	) {
		this.#service = service;
		this.zone = zone;
		this.#latencyMs = latencyMs;
		this.#occupancy = occupancy;
		service.servers.add(this);
	}

	get service(): ServiceSpeeds {
		return this.#service;
	}

	get occupancy(): number {
		return this.#occupancy();
	}

	/** Removes the server from its service. */
	remove(): void {
		this.#service.servers.delete(this);
	}

	/** How the server differs from its service; all 1 where no server of the service differs. */
	factors(nowMs: number): Readonly<SpeedFactors> {
		return this.#service.isUneven(nowMs) ? this.#factors : EVEN;
	}

	/** Only for {@link ServiceSpeeds}. */
	getFactor(kind: SpeedKind): number {
		return this.#factors[kind];
	}

	/** Only for {@link ServiceSpeeds}. */
	setFactor(kind: SpeedKind, factor: number, nowMs: number): void {
		if (this.#factors[kind] === 1) {
			this.#differsSinceMs[kind] = nowMs;
		}

		this.#factors[kind] = factor;
	}

	/** Time for which the server has differed from its service; 0 if it does not. */
	hasDifferedFor(kind: SpeedKind, nowMs: number): number {
		return this.#factors[kind] === 1
			? 0
			: nowMs - (this.#differsSinceMs[kind] ?? nowMs);
	}

	/** Evidence of this daemon; requests in progress count with the time that exceeds what was expected. */
	read(kind: SpeedKind, nowMs: number): SpeedSum {
		const {sum, count} = this.#evidence[kind].read(nowMs);
		let excess = 0;
		if (kind === 'call') {
			for (const {sentAtMs, expectedMs} of this.#pendingCalls) {
				const ratio = (nowMs - sentAtMs) / expectedMs;
				excess += Math.min(MAX_PENDING_EXCESS, Math.max(0, ratio - 2));
			}
		}

		return {sum: sum + excess, count};
	}

	/** @returns a request that {@link endCall} ends, `undefined` if its route is not known yet. */
	beginCall(route: string, nowMs: number): TimedRequest | undefined {
		const expectedMs = this.#service.expectedMs('call', route, this.occupancy);
		if (expectedMs === undefined) {
			return undefined;
		}

		const request = {
			sentAtMs: nowMs,
			expectedMs: Math.max(
				1,
				(expectedMs + this.#latencyMs) * this.#service.reference('call'),
			),
		};
		this.#pendingCalls.add(request);
		return request;
	}

	endCall(request: TimedRequest | undefined): void {
		if (request) {
			this.#pendingCalls.delete(request);
		}
	}

	/** @param occupancy - when the call was sent. */
	recordCall(
		route: string,
		occupancy: number,
		durationMs: number,
		nowMs: number,
	): void {
		const ownMs = Math.max(durationMs * 0.1, durationMs - this.#latencyMs);
		this.#service.recordUsual('call', ownMs / Math.max(1, occupancy));
		const weight = occupancy > 1 ? QUEUED_WEIGHT : 1;
		this.#record('call', route, {occupancy, ms: ownMs, weight}, nowMs);
	}

	/** Records the mean gap between some events of a stream. */
	recordGap(group: string, gapMs: number, nowMs: number): void {
		const occupancy = Math.min(1, this.occupancy);
		this.#record(
			'event',
			group,
			{occupancy, ms: gapMs, weight: GAP_WEIGHT},
			nowMs,
		);
	}

	/** Records the time to the first event of a stream by the prompt tokens that the server had to read. */
	recordRead(
		group: string,
		{tokens, occupancy, ms}: {tokens: number; occupancy: number; ms: number},
		nowMs: number,
	): void {
		if (tokens >= MIN_READ_TOKENS && occupancy <= 1) {
			const ownMs = Math.max(ms * 0.1, ms - this.#latencyMs);
			this.#record('read', group, {occupancy, ms: ownMs / tokens}, nowMs);
		}
	}

	/** Records a failed request or an error response. */
	recordFailure(kind: SpeedKind, nowMs: number): void {
		this.#evidence[kind].record(
			FAILURE_RATIO * this.#service.reference(kind),
			nowMs,
		);
	}

	/**
	 * Reports whether the server began or ceased to differ from its service since the last call, once the
	 * difference has lasted for a second.
	 */
	takeChange(nowMs: number): boolean {
		const differs = SPEED_KINDS.some(
			(kind) => this.hasDifferedFor(kind, nowMs) >= CONFIRM_MS,
		);
		const isChanged = differs !== this.#isAnnounced;
		this.#isAnnounced = differs;
		return isChanged;
	}

	/**
	 * Returns what other daemons should know: evidence about a server that differs, or that others report.
	 * Daemons that found nothing also report the latter, so that a few wrong findings are outvoted.
	 */
	report(nowMs: number): ReportedSpeed | undefined {
		const report: Partial<Record<SpeedKind, SpeedSum>> = {};
		const factors = this.factors(nowMs);
		for (const kind of SPEED_KINDS) {
			if (factors[kind] === 1 && this.others[kind] === undefined) {
				continue;
			}

			const {sum, count} = this.read(kind, nowMs);
			if (count >= 1) {
				report[kind] = {sum: sum / this.#service.reference(kind), count};
			}
		}

		return Object.keys(report).length > 0 ? report : undefined;
	}

	#record(
		kind: SpeedKind,
		group: string,
		{
			occupancy,
			ms,
			weight = 1,
		}: {occupancy: number; ms: number; weight?: number},
		nowMs: number,
	): void {
		const ratio = this.#service.recordDuration(kind, group, occupancy, ms);
		if (ratio === undefined) {
			return;
		}

		const {sum, count} = this.#evidence[kind].read(nowMs);
		if (count >= 1) {
			this.#service.recordDeviation(
				kind,
				(ratio * count) / Math.max(0.01, sum) - 1,
			);
		}

		this.#evidence[kind].record(ratio, nowMs, weight);
	}
}
