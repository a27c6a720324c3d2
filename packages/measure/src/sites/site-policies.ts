import {
	type BalancerSettings,
	LoadReports,
	SharedPartLog,
	type SharedPartLogPosition,
	Placement,
	type PlacementRequest,
} from '@marjoramcove/balancer';
import {asId, type UpstreamId} from '@marjoramcove/types';
import {SitePolicy, type SiteRequest} from './site-policy.ts';
import type {SiteScenario} from './site-scenarios.ts';

const SERVICE = 'models';

const idOf = (engine: number): UpstreamId => asId<UpstreamId>(String(engine));

const listServers = ({engines, zones, model}: SiteScenario) =>
	Array.from({length: engines}, (_, engine) => ({
		id: idOf(engine),
		service: SERVICE,
		address: `10.0.0.1:${engine}`,
		zone: String(engine % zones),
		slots: model.slots,
		isLeaving: false,
	}));

type EntryState = {
	placement: Placement;
	zone: number;
	position: SharedPartLogPosition | undefined;
};

/** State of a zone's relay: the loads reported by its entry daemons, and the last ones received from other relays. */
type RelayState = {
	loads: LoadReports;
	otherZones: LoadReports;
	news: SharedPartLog;
};

/** Runs the balancer package in entry daemons that exchange loads and shared prompts through a relay in each zone. */
export class MarjoramcoveSitePolicy extends SitePolicy {
	override readonly name = 'marjoramcove';
	readonly #entries: EntryState[];
	readonly #relays: RelayState[];

	constructor(
		scenario: SiteScenario,
		random: () => number,
		settings?: BalancerSettings,
	) {
		super();
		this.#relays = Array.from({length: scenario.zones}, (_, zone) => ({
			loads: new LoadReports(),
			otherZones: new LoadReports(),
			news: new SharedPartLog(String(zone)),
		}));
		this.#entries = Array.from({length: scenario.entries}, (_, entry) => {
			const zone = entry % scenario.zones;
			const placement = new Placement({zone: String(zone), random, settings});
			placement.replaceServers(listServers(scenario), 0);
			return {placement, zone, position: undefined};
		});
	}

	override choose(entry: number, request: SiteRequest, nowMs: number): number {
		const {placement} = this.#entries[entry]!;
		const {parts, programId, last} = request;
		const placementRequest: PlacementRequest = {
			service: SERVICE,
			prompt: parts,
			programId,
			last: last && {
				serverId: idOf(last.engine),
				contextTokens: last.contextTokens,
			},
			excludedIds: new Set(),
		};
		const load = placement.choose(placementRequest, nowMs)!;
		placement.recordSent(load, placementRequest, nowMs);
		return Number(load.server.id);
	}

	override recordEnd(entry: number, engine: number): void {
		const {placement} = this.#entries[entry]!;
		placement.recordEnd(placement.servers[engine]!);
	}

	override exchangeLoads(entry: number, nowMs: number): void {
		const state = this.#entries[entry]!;
		const relay = this.#relays[state.zone]!;
		const report = state.placement.takeUpdate(nowMs);
		relay.loads.record(String(entry), report.inFlight, nowMs);
		for (const {news} of this.#relays) {
			news.append(String(entry), report.shared, nowMs);
		}

		const {shared, position} = relay.news.read(
			String(entry),
			state.position,
			nowMs,
		);
		state.position = position;
		const inFlight = relay.loads.sumOfOthers(String(entry), nowMs);
		const otherZonesInFlight = relay.otherZones.sumOfOthers('', nowMs);
		for (const [id, count] of Object.entries(otherZonesInFlight)) {
			inFlight[id] = (inFlight[id] ?? 0) + count;
		}

		state.placement.applyUpdate({inFlight, shared}, nowMs);
	}

	override exchangeBetweenRelays(nowMs: number): void {
		for (const [zone, from] of this.#relays.entries()) {
			const inFlight = from.loads.sumOfOthers('', nowMs);
			for (const to of this.#relays) {
				if (to !== from) {
					to.otherZones.record(String(zone), inFlight, nowMs);
				}
			}
		}
	}
}

/** Sends each turn to the next engine. */
export class RoundRobinSitePolicy extends SitePolicy {
	override readonly name = 'round-robin';
	readonly #engines: number;

	constructor({engines}: SiteScenario) {
		super();
		this.#engines = engines;
	}

	override choose(_entry: number, {number}: SiteRequest): number {
		return number % this.#engines;
	}

	override recordEnd(): void {
		// Round robin does not track load.
	}

	override exchangeLoads(): void {
		// Round robin exchanges no loads.
	}

	override exchangeBetweenRelays(): void {
		// Round robin exchanges no loads.
	}
}

/** Sends each turn to the engine with the fewest turns in progress, with exact and immediate counts. */
export class LeastInFlightSitePolicy extends SitePolicy {
	override readonly name: string = 'least-in-flight';
	protected readonly loads: number[];

	constructor({engines}: SiteScenario) {
		super();
		this.loads = Array.from({length: engines}, () => 0);
	}

	override choose(_entry: number, _request: SiteRequest): number {
		const engine = this.loads.indexOf(Math.min(...this.loads));
		this.loads[engine]!++;
		return engine;
	}

	override recordEnd(_entry: number, engine: number): void {
		this.loads[engine]!--;
	}

	override exchangeLoads(): void {
		// All entry daemons share the exact counts.
	}

	override exchangeBetweenRelays(): void {
		// All entry daemons share the exact counts.
	}
}

/** Sends the first turn of a program to the engine with the fewest turns, and later turns to the same engine. */
export class SessionStickySitePolicy extends LeastInFlightSitePolicy {
	override readonly name = 'session-sticky';

	override choose(entry: number, request: SiteRequest): number {
		const {last} = request;
		if (!last) {
			return super.choose(entry, request);
		}

		this.loads[last.engine]!++;
		return last.engine;
	}
}
