import type {AffinityKey, DaemonId, UpstreamId} from '@marjoramcove/types';
import type {ListedServer} from '@marjoramcove/inventory';
import {
	type BalancerSettings,
	chooseServer,
	countUncachedTokens,
	DEFAULT_BALANCER_SETTINGS,
	type LastTurn,
	type SelectionContext,
} from './choose-server.ts';
import {type ExplainedServer, explainChoice} from './explain-choice.ts';
import type {InFlightByServer} from './load-reports.ts';
import {DaemonRanking} from './daemon-ranking.ts';
import type {ReportedLeaving} from './leaving-reports.ts';
import type {ReportedRates} from './rate-statements.ts';
import {addSpeeds, type ReportedSpeeds} from './speed-reports.ts';
import {ServerSubsets, type SubsetDaemon} from './server-subset.ts';
import {SharedPartDetector} from './shared-part-detector.ts';
import type {PromptPart} from './prefix-cache-estimate.ts';
import {type ServerLoad, ServerTable, type SharedPart} from './server-table.ts';

/**
 * Interval after which a shared part on a server is announced again, well before other daemons discard
 * it.
 */
const REANNOUNCE_INTERVAL_MS = 1000;

/** A request that needs a server. */
export type PlacementRequest = {
	service: string;
	/** Parts of the prompt, in order; absent for plain requests. */
	prompt?: readonly PromptPart[];
	/** Identifies the program, to detect parts that several programs share. */
	programId: string;
	/** Object that a plain request concerns. */
	affinityKey?: AffinityKey;
	last?: LastTurn;
	/** Whether this daemon has an idle connection to a server. */
	isConnected?: (load: ServerLoad) => boolean;
	/** Servers that the request has already been sent to. */
	excludedIds: ReadonlySet<UpstreamId>;
};

/** Update of a daemon for other daemons about the requests that it has sent. */
export type PlacementUpdate = {
	inFlight: InFlightByServer;
	shared: readonly SharedPart[];
	/** Request rates that servers stated recently; absent in updates of an earlier version. */
	rates?: ReportedRates;
	/** Servers that recently announced that they are leaving; absent in updates of an earlier version. */
	leaving?: ReportedLeaving;
	/** Servers that differ in speed from their service; absent in updates of an earlier version. */
	speeds?: ReportedSpeeds;
};

/** Servers of which an update of other daemons told something new. */
export type AppliedUpdate = {
	rateChanged: ServerLoad[];
	startedLeaving: ServerLoad[];
	/** Servers that began or ceased to differ in speed from their service. */
	speedChanged: ServerLoad[];
};

/** What a request would meet now. */
export type PlacementExplanation = {
	/** Whether servers of the service differ in speed, so that two drawn ones are compared instead of all. */
	isUneven: boolean;
	/** Age of the last update of other daemons; absent if there was none. */
	reportsAgeMs?: number;
	/** Servers of the service, candidates first, by cost. */
	servers: ExplainedServer[];
};

export type PlacementOptions = {
	/** Zone of this daemon. */
	zone: string;
	/** Time for which a leaving server may still get requests that no other server can take. */
	leavingUseMs?: number;
	settings?: BalancerSettings;
	random?: () => number;
};

/**
 * Chooses servers for the requests of one daemon by their estimated load and prefix caches, which it
 * derives from its own requests and from the updates of other daemons.
 *
 * @example
 * ```ts
 * const placement = new Placement({zone: 'a'});
 * placement.replaceServers(servers, performance.now());
 * const load = placement.choose(request, performance.now());
 * ```
 */
export class Placement {
	readonly #options: Required<Omit<PlacementOptions, 'leavingUseMs'>>;
	readonly #table: ServerTable;
	readonly #sharedParts = new SharedPartDetector();
	readonly #subsets = new ServerSubsets();
	#updatedAtMs: number | undefined;
	/** Shared parts that are not yet announced to other daemons, by server and part. */
	readonly #unannounced = new Map<string, SharedPart>();

	constructor({
		settings = DEFAULT_BALANCER_SETTINGS,
		random = Math.random,
		zone,
		leavingUseMs = 0,
	}: PlacementOptions) {
		this.#options = {settings, random, zone};
		this.#table = new ServerTable({
			leavingUseMs,
			latencyMs: (serverZone) =>
				serverZone === zone ? 0 : settings.crossZoneCostMs,
		});
	}

	/** All known servers with their load. */
	get servers(): ServerLoad[] {
		return this.#table.all();
	}

	/**
	 * Applies a new server list; the load, health and cache of restarted servers are reset.
	 *
	 * @returns the servers that are listed as leaving for the first time.
	 */
	replaceServers(
		servers: readonly ListedServer[],
		nowMs: number,
	): ServerLoad[] {
		this.#subsets.setServers(servers);
		return this.#table.replace(servers, nowMs);
	}

	/** Whether another server of the service takes requests and is not known to be leaving. */
	hasStayingServer(service: string): boolean {
		return this.#table.hasStayingServer(service);
	}

	/** Time until which a leaving server may get requests; `Infinity` if it is not leaving. */
	usableUntilMs(load: ServerLoad): number {
		return this.#table.usableUntilMs(load);
	}

	/** Applies the list of the daemons that send requests to the servers. */
	replaceDaemons(
		selfId: DaemonId,
		daemonIds: readonly DaemonId[],
		nowMs: number,
	): void {
		this.#table.setDaemons(new DaemonRanking(selfId, daemonIds), nowMs);
	}

	/** Applies the zones of the daemons; without them, this daemon uses all servers alike. */
	replaceDaemonZones(selfId: DaemonId, daemons: readonly SubsetDaemon[]): void {
		const self = {daemonId: selfId, zone: this.#options.zone};
		this.#subsets.setDaemons(self, daemons);
	}

	/** @returns `undefined` when no server is available for the request. */
	choose(request: PlacementRequest, nowMs: number): ServerLoad | undefined {
		const candidates = this.#table.candidates(
			request.service,
			nowMs,
			request.excludedIds,
		);
		return chooseServer(
			candidates,
			this.#createContext(request, nowMs),
			this.#options.settings,
		);
	}

	/** Explains what {@link choose} would compare now, without sending or recording anything. */
	explain(request: PlacementRequest, nowMs: number): PlacementExplanation {
		const {service, excludedIds} = request;
		const loads = this.servers.filter(({server}) => server.service === service);
		return {
			isUneven: loads[0]?.speed.service.isUneven(nowMs) === true,
			reportsAgeMs:
				this.#updatedAtMs === undefined ? undefined : nowMs - this.#updatedAtMs,
			servers: explainChoice(
				loads,
				new Set(this.#table.candidates(service, nowMs, excludedIds)),
				this.#createContext(request, nowMs),
				this.#options.settings,
			),
		};
	}

	/** Prompt tokens of the request that the server presumably has to read; `undefined` without a prompt. */
	countUncachedTokens(
		load: ServerLoad,
		{prompt, last}: PlacementRequest,
		nowMs: number,
	): number | undefined {
		return prompt && countUncachedTokens(load, prompt, {last, nowMs});
	}

	/** Records that the request is sent to the server. */
	recordSent(
		load: ServerLoad,
		{prompt = [], programId}: PlacementRequest,
		nowMs: number,
	): void {
		load.inFlight++;
		load.speed.lastSentAtMs = nowMs;
		load.rateShare.recordSent(nowMs);
		this.#sharedParts.record(
			programId,
			prompt.map(({id}) => id),
		);
		for (const part of prompt) {
			const isAnnouncementDue =
				load.prefixCache.ageMs(part.id, nowMs) > REANNOUNCE_INTERVAL_MS;
			load.prefixCache.record(part, nowMs);
			if (isAnnouncementDue && this.#sharedParts.isShared(part.id)) {
				const serverId = load.server.id;
				this.#unannounced.set(`${serverId} ${part.id}`, {serverId, ...part});
			}
		}
	}

	/**
	 * Records the request rate that a server stated in a response, `undefined` if none.
	 *
	 * @returns whether it changed.
	 */
	recordRate(
		load: ServerLoad,
		requestsPerSecond: number | undefined,
		nowMs: number,
	): boolean {
		return this.#table.recordRate(load, requestsPerSecond, nowMs);
	}

	/**
	 * Returns the time at which the rates of the servers next allow a request of this daemon; `Infinity` if
	 * they allow none, `undefined` if there is no server.
	 */
	nextPermitAtMs(
		{service, excludedIds}: Pick<PlacementRequest, 'excludedIds' | 'service'>,
		nowMs: number,
	): number | undefined {
		return this.#table.nextPermitAtMs(service, excludedIds, nowMs);
	}

	/** Records the end of a request that was sent to the server. */
	recordEnd(load: ServerLoad): void {
		load.inFlight--;
	}

	/** Whether {@link takeUpdate} would return anything. */
	hasUpdate(nowMs: number): boolean {
		return this.#unannounced.size > 0 || this.#table.hasUpdate(nowMs);
	}

	/** Returns the update for other daemons; each pending announcement is returned once. */
	takeUpdate(nowMs: number): PlacementUpdate {
		const shared = [...this.#unannounced.values()];
		this.#unannounced.clear();
		return {
			inFlight: this.#table.countInFlight(),
			shared,
			rates: this.#table.reportRates(nowMs),
			leaving: this.#table.reportLeaving(nowMs),
			speeds: this.#table.reportSpeeds(nowMs),
		};
	}

	/** Applies an update of other daemons. */
	applyUpdate(
		{inFlight, shared, rates = {}, leaving = {}, speeds = {}}: PlacementUpdate,
		nowMs: number,
	): AppliedUpdate {
		this.#updatedAtMs = nowMs;
		this.#table.setOthersSpeeds(addSpeeds({}, speeds));
		this.#table.setOthersInFlight(inFlight);
		this.#table.recordSharedParts(shared, nowMs);
		return {
			rateChanged: this.#table.recordReportedRates(rates, nowMs),
			startedLeaving: this.#table.recordReportedLeaving(leaving, nowMs),
			speedChanged: this.servers.filter(({speed}) => speed.takeChange(nowMs)),
		};
	}

	#createContext(request: PlacementRequest, nowMs: number): SelectionContext {
		const {prompt, affinityKey, last, isConnected, excludedIds} = request;
		const {zone, random} = this.#options;
		return {
			zone,
			prompt,
			affinityKey,
			last,
			isConnected,
			excludedIds,
			nowMs,
			random,
			daemonCount: this.#table.daemonCount,
			isOutsideSubset: ({server}) => this.#subsets.isOutside(server),
		};
	}
}
