import type {ListedServer} from '@marjoramcove/inventory';
import {
	asId,
	type DaemonId,
	hashText,
	type UpstreamId,
} from '@marjoramcove/types';
import {LeavingNotices} from './leaving-notices.ts';
import {type ReportedLeaving, reportLeaving} from './leaving-reports.ts';
import {type PromptPart, PrefixCacheEstimate} from './prefix-cache-estimate.ts';
import {ServerHealth, type BaselineDurations} from './server-health.ts';
import {DaemonRanking} from './daemon-ranking.ts';
import {RateShare} from './rate-share.ts';
import {
	type ReportedRate,
	type ReportedRates,
	reportRate,
} from './rate-statements.ts';
import {DurationAverages} from './duration-averages.ts';
import {ServerSpeed} from './server-speed.ts';
import {ServiceSpeeds} from './service-speeds.ts';
import {
	limitReport,
	type ReportedSpeed,
	type ReportedSpeeds,
} from './speed-reports.ts';

/** A server with this daemon's view of its load, prefix cache and health. */
export type ServerLoad = {
	server: ListedServer;
	/** Distinguishes incarnations of a server, and different servers at the same address. */
	key: string;
	/** Hash of the server's id. */
	idHash: number;
	/** In-flight requests of this daemon. */
	inFlight: number;
	/** In-flight requests of other daemons, according to their last reports. */
	othersInFlight: number;
	/** The server refused a request and is avoided until this time of the monotonic clock. */
	avoidUntilMs: number;
	/** What is known of its leaving. */
	leaving: LeavingNotices;
	/** Prompt parts that the server presumably caches, sent by this daemon or announced by others. */
	prefixCache: PrefixCacheEstimate;
	/** Health, as observed by this daemon. */
	health: ServerHealth;
	/** This daemon's share in the request rate that the server states. */
	rateShare: RateShare;
	/** Speed compared with its service. */
	speed: ServerSpeed;
};

const createLoad = (
	server: ListedServer,
	baseline: BaselineDurations,
	{speeds, latencyMs}: {speeds: ServiceSpeeds; latencyMs: number},
): ServerLoad => {
	const speed = new ServerSpeed(speeds, {
		zone: server.zone,
		latencyMs,
		occupancy: () =>
			(load.inFlight + load.othersInFlight + 1) /
			Math.max(1, load.server.slots),
	});
	const load: ServerLoad = {
		server,
		key: `${server.id} ${server.address} ${server.bornAtMs ?? ''}`,
		idHash: hashText(server.id),
		inFlight: 0,
		othersInFlight: 0,
		avoidUntilMs: 0,
		leaving: new LeavingNotices(),
		prefixCache: new PrefixCacheEstimate(),
		health: new ServerHealth(baseline, speed),
		rateShare: new RateShare(hashText(server.id)),
		speed,
	};
	return load;
};

/** A part that several programs share, and a server that it was sent to. */
export type SharedPart = PromptPart & {serverId: UpstreamId};

/**
 * The listed servers with their load.
 *
 * @example
 * ```ts
 * const table = new ServerTable();
 * table.replace(servers, performance.now());
 * ```
 */
export class ServerTable {
	readonly #baseline: BaselineDurations = {
		firstChunk: new DurationAverages(),
		total: new DurationAverages(),
		chunkGap: new DurationAverages(),
	};

	readonly #leavingUseMs: number;
	readonly #latencyMs: (zone: string) => number;
	readonly #speeds = new Map<string, ServiceSpeeds>();
	#loads = new Map<UpstreamId, ServerLoad>();
	#ranking = new DaemonRanking(asId<DaemonId>(''), []);

	/**
	 * @param options.leavingUseMs - time for which a leaving server may still get requests that no other can
	 * take.
	 * @param options.latencyMs - network time to a server in the zone.
	 */
	constructor({
		leavingUseMs = 0,
		latencyMs = () => 0,
	}: {leavingUseMs?: number; latencyMs?: (zone: string) => number} = {}) {
		this.#leavingUseMs = leavingUseMs;
		this.#latencyMs = latencyMs;
	}

	/** Number of daemons that send requests. */
	get daemonCount(): number {
		return Math.max(1, this.#ranking.count);
	}

	/** Applies the list of the daemons that send requests, among which the rates of servers are shared. */
	setDaemons(ranking: DaemonRanking, nowMs: number): void {
		this.#ranking = ranking;
		for (const {rateShare} of this.#loads.values()) {
			if (rateShare.isLimited) {
				rateShare.updateShare(ranking, nowMs);
			}
		}
	}

	/**
	 * Records the rate that a server stated in a response.
	 *
	 * @returns whether it changed.
	 */
	recordRate(
		{rateShare}: ServerLoad,
		requestsPerSecond: number | undefined,
		nowMs: number,
	): boolean {
		return rateShare.recordStatement(
			{requestsPerSecond, atMs: nowMs},
			this.#ranking,
			nowMs,
		);
	}

	/**
	 * Records the rates that servers stated to other daemons.
	 *
	 * @returns the servers whose rate changed.
	 */
	recordReportedRates(rates: ReportedRates, nowMs: number): ServerLoad[] {
		return Object.entries(rates).flatMap(([id, {requestsPerSecond, ageMs}]) => {
			const load = this.#loads.get(id as UpstreamId);
			const statement = {requestsPerSecond, atMs: nowMs - ageMs};
			return load?.rateShare.recordStatement(statement, this.#ranking, nowMs)
				? [load]
				: [];
		});
	}

	/** Returns the recent statements of servers about their rate, by server id. */
	reportRates(nowMs: number): Record<string, ReportedRate> {
		const rates: Record<string, ReportedRate> = {};
		for (const [id, {rateShare}] of this.#loads) {
			const rate = rateShare.hasStatedLimit
				? reportRate(rateShare.statement, nowMs)
				: undefined;
			if (rate) {
				rates[id] = rate;
			}
		}

		return rates;
	}

	/**
	 * Applies a new server list. A server that restarted under the same id starts without load,
	 * failures or cache, and without the announcement that its earlier instance was leaving.
	 *
	 * @returns the servers that are listed as leaving for the first time.
	 */
	replace(servers: readonly ListedServer[], nowMs: number): ServerLoad[] {
		const next = new Map<UpstreamId, ServerLoad>();
		const startedLeaving: ServerLoad[] = [];
		for (const server of servers) {
			const known = this.#loads.get(server.id);
			const isSameInstance =
				known?.server.address === server.address &&
				known.server.bornAtMs === server.bornAtMs;
			if (known && isSameInstance) {
				known.server = server;
			}

			const load = known && isSameInstance ? known : this.#createLoad(server);
			next.set(server.id, load);
			if (load.leaving.setListed(server.isLeaving, nowMs)) {
				startedLeaving.push(load);
			}
		}

		for (const [id, load] of this.#loads) {
			if (next.get(id) !== load) {
				load.speed.remove();
			}
		}

		this.#loads = next;
		return startedLeaving;
	}

	/** Returns this daemon's evidence about servers that differ in speed from their service. */
	reportSpeeds(nowMs: number): Record<string, ReportedSpeed> {
		const entries = [...this.#loads].flatMap(([id, {speed}]) => {
			const report = speed.report(nowMs);
			return report ? [[id, report] as const] : [];
		});
		return limitReport(Object.fromEntries(entries));
	}

	/** Replaces the evidence of other daemons about the speed of servers. */
	setOthersSpeeds(speeds: ReportedSpeeds): void {
		for (const [id, {speed}] of this.#loads) {
			speed.others = speeds[id] ?? {};
		}
	}

	/** Returns the recent announcements of leaving servers to this daemon. */
	reportLeaving(nowMs: number): Record<string, number> {
		const announced = [...this.#loads.values()].flatMap(({key, leaving}) =>
			leaving.answeredAtMs === undefined
				? []
				: [[key, leaving.answeredAtMs] as const],
		);
		return reportLeaving(announced, nowMs);
	}

	/**
	 * Records the announcements of leaving servers to other daemons.
	 *
	 * @returns the servers whose leaving was not known.
	 */
	recordReportedLeaving(ages: ReportedLeaving, nowMs: number): ServerLoad[] {
		return Object.keys(ages).length === 0
			? []
			: [...this.#loads.values()].filter(({key, leaving}) => {
					const ageMs = ages[key];
					return ageMs !== undefined && leaving.recordReport(nowMs - ageMs);
				});
	}

	/** Whether another server of the service takes requests and is not known to be leaving. */
	hasStayingServer(service: string): boolean {
		return [...this.#loads.values()].some(
			({server, leaving}) => server.service === service && leaving.isStaying,
		);
	}

	/** Time until which a leaving server may get requests that no other server can take. */
	usableUntilMs({leaving}: ServerLoad): number {
		const {leavingSinceMs} = leaving;
		return leavingSinceMs === undefined
			? Infinity
			: leavingSinceMs + this.#leavingUseMs;
	}

	/** Replaces the in-flight requests of other daemons, given by server id. */
	setOthersInFlight(inFlight: Readonly<Record<string, number>>): void {
		for (const [id, load] of this.#loads) {
			load.othersInFlight = inFlight[id] ?? 0;
		}
	}

	/** Records the shared parts that other daemons have sent. */
	recordSharedParts(parts: readonly SharedPart[], nowMs: number): void {
		for (const {serverId, ...part} of parts) {
			this.#loads.get(serverId)?.prefixCache.record(part, nowMs);
		}
	}

	/** Counts the in-flight requests of this daemon by server id; idle servers are omitted. */
	countInFlight(): Record<string, number> {
		const counts: Record<string, number> = {};
		for (const [id, {inFlight}] of this.#loads) {
			if (inFlight > 0) {
				counts[id] = inFlight;
			}
		}

		return counts;
	}

	/** Whether there are requests in progress, stated rates or announcements to report. */
	hasUpdate(nowMs: number): boolean {
		return [
			this.countInFlight(),
			this.reportRates(nowMs),
			this.reportLeaving(nowMs),
		].some((report) => Object.keys(report).length > 0);
	}

	/**
	 * Returns the servers of a service to which this daemon may send a request now, except those that it has
	 * been sent to. Servers to avoid are returned only when there are no others, and none of the others takes
	 * the request later.
	 */
	candidates(
		service: string,
		nowMs: number,
		excludedIds: ReadonlySet<UpstreamId> = new Set(),
	): ServerLoad[] {
		const accepting = this.#accepting(service, nowMs, excludedIds);
		const permitted = accepting.filter(
			({rateShare}) => rateShare.nextPermitAtMs <= nowMs,
		);
		const usable = permitted.filter(
			({avoidUntilMs, health}) =>
				avoidUntilMs <= nowMs && !health.isAvoided(nowMs),
		);
		if (usable.length > 0) {
			return usable;
		}

		const mayWait = accepting.some(
			({rateShare, health}) =>
				rateShare.isLimited &&
				rateShare.nextPermitAtMs < Infinity &&
				!health.isAvoided(nowMs),
		);
		return mayWait ? [] : permitted;
	}

	/**
	 * Returns the time at which a sound server of the service may first get another request of this daemon, as
	 * the rates of the servers allow; `Infinity` if none may, `undefined` if there is no server.
	 */
	nextPermitAtMs(
		service: string,
		excludedIds: ReadonlySet<UpstreamId>,
		nowMs: number,
	): number | undefined {
		const open = this.#accepting(service, nowMs, excludedIds);
		if (!open.some(({rateShare}) => rateShare.isLimited)) {
			return open.length > 0 ? nowMs : undefined;
		}

		const sound = open.filter(({health}) => !health.isAvoided(nowMs));
		const timesMs = (sound.length > 0 ? sound : open).map(
			({rateShare, avoidUntilMs}) =>
				Math.max(rateShare.nextPermitAtMs, avoidUntilMs),
		);
		return Math.min(...timesMs);
	}

	all(): ServerLoad[] {
		return [...this.#loads.values()];
	}

	#createLoad(server: ListedServer): ServerLoad {
		const speeds = this.#speeds.get(server.service) ?? new ServiceSpeeds();
		this.#speeds.set(server.service, speeds);
		return createLoad(server, this.#baseline, {
			speeds,
			latencyMs: this.#latencyMs(server.zone),
		});
	}

	/**
	 * Servers of a service that a request may still be sent to: those that stay; if there are none, those whose
	 * leaving only other daemons report; and if there are none either, those that began to leave a short time ago.
	 */
	#accepting(
		service: string,
		nowMs: number,
		excludedIds: ReadonlySet<UpstreamId>,
	): ServerLoad[] {
		const open = [...this.#loads.values()].filter(
			({server}) => server.service === service && !excludedIds.has(server.id),
		);
		const staying = open.filter(({leaving}) => leaving.isStaying);
		if (staying.length > 0) {
			return staying;
		}

		const unconfirmed = open.filter(
			({leaving}) => leaving.leavingSinceMs === undefined,
		);
		return unconfirmed.length > 0
			? unconfirmed
			: open.filter((load) => nowMs < this.usableUntilMs(load));
	}
}
