import {
	addSpeeds,
	LoadReports,
	Placement,
	type PlacementRequest,
	type ServerLoad,
	SpeedReports,
} from '@marjoramcove/balancer';
import {asId, type DaemonId, type UpstreamId} from '@marjoramcove/types';
import {RandomDraws} from '../random-draws.ts';
import {VirtualClock} from '../virtual-clock.ts';
import type {DrawnServer} from './draw-servers.ts';
import type {PlayPolicy} from './play-policies.ts';
import {
	type PlayedEnd,
	QueueServer,
	type ServiceTimes,
} from './queue-server.ts';

/** Calls that a program makes one after another. */
export const CALLS_PER_PROGRAM = 4;

/** Attempts of a call, which is idempotent. */
const MAX_ATTEMPTS = 4;

/** Time for which a server that was full is avoided, as by entry daemons. */
const AVOID_FULL_MS = 50;

const EXCHANGE_INTERVAL_MS = 100;

/** Age of the reports of others when they arrive. */
const REPORT_DELAY_MS = 100;

/** Network time to a server in another zone. */
const CROSS_ZONE_MS = 1;

/** Programs that start earlier are not counted, because speeds are unknown at first. */
const WARM_UP_MS = 5000;

/** A service and the daemons in front of it. */
export type PlayScenario = {
	name: string;
	isStream: boolean;
	servers: number;
	slots: number;
	entries: number;
	times: ServiceTimes;
};

export type PlayResult = {
	programs: number;
	failedPrograms: number;
	/** Error responses per thousand responses. */
	errorsPer1000: number;
	programP50Ms: number;
	programP95Ms: number;
	/** Share of the work that slow or faulty servers did. */
	faultyShare: number;
	/** Share of the time for which an entry daemon found that the servers differ. */
	unevenShare: number;
};

/** One play: programs arrive at entry daemons and run on servers until all have ended. */
export class Play {
	readonly #clock = new VirtualClock();
	readonly #draws: RandomDraws;
	readonly #scenario: PlayScenario;
	readonly #policy: PlayPolicy;
	readonly #servers: QueueServer[];
	readonly #placements: Placement[];
	readonly #loads = new LoadReports();
	readonly #speeds = new SpeedReports();
	readonly #durationsMs: number[] = [];
	#failed = 0;
	#exchanges = 0;
	#unevenExchanges = 0;
	#errors = 0;
	#open = 0;
	#hasArrivals = true;

	constructor(
		scenario: PlayScenario,
		drawn: readonly DrawnServer[],
		{policy, seed}: {policy: PlayPolicy; seed: number},
	) {
		this.#scenario = scenario;
		this.#policy = policy;
		this.#draws = new RandomDraws(seed);
		const {slots, times, entries} = scenario;
		this.#servers = drawn.map(
			(server) =>
				new QueueServer(server, {
					clock: this.#clock,
					draws: new RandomDraws(seed + 1),
					slots,
					times,
				}),
		);
		const daemonIds = Array.from({length: entries}, (_, index) =>
			asId<DaemonId>(`entry-${index}`),
		);
		this.#placements = daemonIds.map((id, index) =>
			this.#createPlacement(id, index, daemonIds),
		);
	}

	run(programsPerMs: number, lengthMs: number): PlayResult {
		this.#arrive(programsPerMs, lengthMs);
		for (const [index] of this.#placements.entries()) {
			this.#clock.after(
				(index * EXCHANGE_INTERVAL_MS) / this.#placements.length,
				() => {
					this.#exchange(index);
				},
			);
		}

		this.#clock.run(() => !this.#hasArrivals && this.#open === 0);
		const sorted = this.#durationsMs.sort((a, b) => a - b);
		const at = (share: number) =>
			Math.round(sorted[Math.floor(share * sorted.length)] ?? 0);
		const served = (servers: readonly QueueServer[]) =>
			servers.reduce((sum, server) => sum + server.served, 0);
		return {
			programs: sorted.length,
			failedPrograms: this.#failed,
			errorsPer1000: (1000 * this.#errors) / served(this.#servers),
			programP50Ms: at(0.5),
			programP95Ms: at(0.95),
			faultyShare:
				served(
					this.#servers.filter(
						({drawn}) => drawn.faults.length > 0 || drawn.slowness > 1.2,
					),
				) / served(this.#servers),
			unevenShare: this.#unevenExchanges / this.#exchanges,
		};
	}

	#createPlacement(
		id: DaemonId,
		index: number,
		daemonIds: readonly DaemonId[],
	): Placement {
		const placement = new Placement({
			zone: index % 2 === 0 ? 'a' : 'b',
			random: new RandomDraws(index + 100).next,
		});
		placement.replaceServers(
			this.#servers.map(({drawn, slots}, server) => ({
				id: asId<UpstreamId>(`s${server}`),
				service: 'service',
				address: `10.0.0.${server}:80`,
				zone: drawn.zone,
				slots,
				isLeaving: false,
			})),
			0,
		);
		placement.replaceDaemons(id, daemonIds, 0);
		this.#policy.prepare(placement);
		return placement;
	}

	#arrive(programsPerMs: number, lengthMs: number): void {
		this.#clock.after(this.#draws.exponential(1 / programsPerMs), () => {
			if (this.#clock.nowMs > lengthMs) {
				this.#hasArrivals = false;
				return;
			}

			const entry = this.#draws.integer(0, this.#placements.length - 1);
			this.#open++;
			this.#call(entry, {
				left: CALLS_PER_PROGRAM,
				startedAtMs: this.#clock.nowMs,
			});
			this.#arrive(programsPerMs, lengthMs);
		});
	}

	#call(entry: number, program: {left: number; startedAtMs: number}): void {
		this.#attempt(entry, new Set(), (isDone) => {
			if (!isDone) {
				this.#failed++;
				this.#open--;
			} else if (program.left > 1) {
				this.#call(entry, {...program, left: program.left - 1});
			} else {
				if (program.startedAtMs >= WARM_UP_MS) {
					this.#durationsMs.push(this.#clock.nowMs - program.startedAtMs);
				}

				this.#open--;
			}
		});
	}

	#attempt(
		entry: number,
		excludedIds: ReadonlySet<UpstreamId>,
		onEnd: (isDone: boolean) => void,
	): void {
		const placement = this.#placements[entry]!;
		const {nowMs} = this.#clock;
		const request = this.#createRequest(excludedIds);
		const load = this.#policy.choose(placement, request, nowMs);
		if (!load) {
			onEnd(false);
			return;
		}

		const attempt = load.health.begin(
			{
				route: 'route',
				streamGroup: this.#scenario.isStream ? 'service' : undefined,
				uncachedTokens: placement.countUncachedTokens(load, request, nowMs),
			},
			nowMs,
		);
		placement.recordSent(load, request, nowMs);
		const isOtherZone = load.server.zone !== (entry % 2 === 0 ? 'a' : 'b');
		this.#clock.after(isOtherZone ? CROSS_ZONE_MS : 0, () => {
			this.#servers[Number(load.server.id.slice(1))]!.receive({
				onChunk: () => {
					load.health.recordChunk(attempt, this.#clock.nowMs);
				},
				onEnd: (end) => {
					const outcome = end === 'full' ? 'cancelled' : end;
					placement.recordEnd(load);
					load.health.end(attempt, outcome, this.#clock.nowMs);
					if (end === 'answered') {
						onEnd(true);
					} else {
						this.#retry({entry, excludedIds, load, end}, onEnd);
					}
				},
			});
		});
	}

	#createRequest(excludedIds: ReadonlySet<UpstreamId>): PlacementRequest {
		return {
			service: 'service',
			prompt: this.#scenario.isStream
				? [{id: `p${this.#draws.integer(0, 1e9)}`, tokens: 2000}]
				: undefined,
			programId: 'program',
			excludedIds,
		};
	}

	#retry(
		{
			entry,
			excludedIds,
			load,
			end,
		}: {
			entry: number;
			excludedIds: ReadonlySet<UpstreamId>;
			load: ServerLoad;
			end: PlayedEnd;
		},
		onEnd: (isDone: boolean) => void,
	): void {
		if (end === 'error') {
			this.#errors++;
		} else {
			load.avoidUntilMs = this.#clock.nowMs + AVOID_FULL_MS;
		}

		const tried = new Set([...excludedIds, load.server.id]);
		if (tried.size < MAX_ATTEMPTS) {
			this.#attempt(entry, tried, onEnd);
		} else {
			onEnd(false);
		}
	}

	#exchange(entry: number): void {
		const placement = this.#placements[entry]!;
		const {nowMs} = this.#clock;
		const name = `entry-${entry}`;
		const {inFlight, speeds = {}} = placement.takeUpdate(nowMs);
		const isUneven = placement.servers[0]!.speed.service.isUneven(nowMs);
		this.#exchanges++;
		this.#unevenExchanges += isUneven ? 1 : 0;
		this.#loads.record(name, inFlight, nowMs);
		this.#speeds.record(name, speeds, nowMs);
		const others = {
			inFlight: this.#loads.sumOfOthers(name, nowMs),
			shared: [],
			speeds: addSpeeds({}, this.#speeds.sumOfOthers(name, nowMs)),
		};
		this.#clock.after(REPORT_DELAY_MS, () => {
			placement.applyUpdate(others, this.#clock.nowMs);
		});
		this.#clock.after(EXCHANGE_INTERVAL_MS, () => {
			this.#exchange(entry);
		});
	}
}
