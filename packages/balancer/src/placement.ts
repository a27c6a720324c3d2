import type {UpstreamId} from '@marjoramcove/types';
import type {ListedServer} from '@marjoramcove/inventory';
import {
	type BalancerSettings,
	chooseServer,
	DEFAULT_BALANCER_SETTINGS,
	type LastTurn,
} from './choose-server.ts';
import type {InFlightByServer} from './load-ledger.ts';
import {PartPopularity} from './part-popularity.ts';
import type {PromptPart} from './recent-parts.ts';
import {type ServerLoad, ServerTable, type SharedPart} from './server-table.ts';

/** Other daemons hear of a shared part on a server again after this time, well before they forget it. */
const TELL_AGAIN_MS = 1000;

/** A request that a server is chosen for. */
export type PlacementRequest = {
	service: string;
	/** Parts of the prompt, in their order; absent for plain requests. */
	prompt?: readonly PromptPart[];
	/** Tells prompts of different programs apart. */
	programId: string;
	last?: LastTurn;
	/** Servers that it has been sent to already. */
	excludedIds: ReadonlySet<UpstreamId>;
};

/** What a daemon tells others of the requests that it has sent. */
export type PlacementNews = {
	inFlight: InFlightByServer;
	shared: readonly SharedPart[];
};

export type PlacementOptions = {
	/** Zone of this daemon. */
	zone: string;
	settings?: BalancerSettings;
	random?: () => number;
};

/**
 * Chooses servers for the requests of one daemon, by what it knows of their load and of what they keep,
 * from its own requests and from the news of other daemons.
 *
 * @example
 * ```ts
 * const placement = new Placement({zone: 'a'});
 * placement.replaceServers(servers);
 * const load = placement.choose(request, performance.now());
 * ```
 */
export class Placement {
	readonly #options: Required<PlacementOptions>;
	readonly #table = new ServerTable();
	readonly #popularity = new PartPopularity();
	/** Shared parts on servers that the others have not been told of, by server and part. */
	readonly #untold = new Map<string, SharedPart>();

	constructor({
		settings = DEFAULT_BALANCER_SETTINGS,
		random = Math.random,
		zone,
	}: PlacementOptions) {
		this.#options = {settings, random, zone};
	}

	/** The servers that it knows, with their load. */
	get servers(): ServerLoad[] {
		return this.#table.all();
	}

	/** Takes a new list. A server that started again under its id has no load, faults or cache. */
	replaceServers(servers: readonly ListedServer[]): void {
		this.#table.replace(servers);
	}

	/** @returns `undefined` when no server takes the request. */
	choose(request: PlacementRequest, nowMs: number): ServerLoad | undefined {
		const {zone, settings, random} = this.#options;
		const candidates = this.#table.candidates(request.service, nowMs);
		const {prompt, last, excludedIds} = request;
		return chooseServer(
			candidates,
			{zone, prompt, last, excludedIds, nowMs, random},
			settings,
		);
	}

	/** The request is sent to the server. */
	noteSent(
		load: ServerLoad,
		{prompt = [], programId}: PlacementRequest,
		nowMs: number,
	): void {
		load.inFlight++;
		this.#popularity.note(
			programId,
			prompt.map(({id}) => id),
		);
		for (const part of prompt) {
			const isNews = load.parts.ageMs(part.id, nowMs) > TELL_AGAIN_MS;
			load.parts.note(part, nowMs);
			if (isNews && this.#popularity.isCommon(part.id)) {
				const serverId = load.server.id;
				this.#untold.set(`${serverId} ${part.id}`, {serverId, ...part});
			}
		}
	}

	/** A request that was sent to the server is over. */
	noteEnd(load: ServerLoad): void {
		load.inFlight--;
	}

	/** What the others should hear; each shared part is told once. */
	takeNews(): PlacementNews {
		const shared = [...this.#untold.values()];
		this.#untold.clear();
		return {inFlight: this.#table.describeInFlight(), shared};
	}

	/** Takes what the others told. */
	noteNews({inFlight, shared}: PlacementNews, nowMs: number): void {
		this.#table.noteOthers(inFlight);
		this.#table.noteShared(shared, nowMs);
	}
}
