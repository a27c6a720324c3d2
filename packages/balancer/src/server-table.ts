import type {ListedServer} from '@marjoramcove/inventory';
import {hashText, type UpstreamId} from '@marjoramcove/types';
import {type PromptPart, RecentParts} from './recent-parts.ts';
import {ServerHealth, type UsualTimes} from './server-health.ts';
import {TypicalTimes} from './typical-times.ts';

/** A server and what this daemon knows of its load. */
export type ServerLoad = {
	server: ListedServer;
	/** Hash of its id. */
	idHash: number;
	/** Requests of this daemon that it has not answered. */
	inFlight: number;
	/** Requests of other daemons, as they last told. */
	othersInFlight: number;
	/** It said itself that it takes nothing until this time of the monotonic clock. */
	avoidUntilMs: number;
	/** It said itself that it is leaving; the list may not show it yet. */
	isClosing: boolean;
	/** What it keeps of prompts, as far as this daemon was told or sent them itself. */
	parts: RecentParts;
	/** How it answered this daemon. */
	health: ServerHealth;
};

const createLoad = (server: ListedServer, usual: UsualTimes): ServerLoad => ({
	server,
	idHash: hashText(server.id),
	inFlight: 0,
	othersInFlight: 0,
	avoidUntilMs: 0,
	isClosing: false,
	parts: new RecentParts(),
	health: new ServerHealth(usual),
});

/** A part that many programs share, and a server that was sent it. */
export type SharedPart = PromptPart & {serverId: UpstreamId};

/**
 * The servers of the list with their load.
 *
 * @example
 * ```ts
 * const table = new ServerTable();
 * table.replace(servers);
 * ```
 */
export class ServerTable {
	readonly #usual: UsualTimes = {
		firstPiece: new TypicalTimes(),
		whole: new TypicalTimes(),
		pause: new TypicalTimes(),
	};

	#loads = new Map<UpstreamId, ServerLoad>();

	/** Takes a new list. A server that started again under its id has no load, faults or cache. */
	replace(servers: readonly ListedServer[]): void {
		const next = new Map<UpstreamId, ServerLoad>();
		for (const server of servers) {
			const known = this.#loads.get(server.id);
			const isSameLife =
				known?.server.address === server.address &&
				known.server.bornAtMs === server.bornAtMs;
			if (known && isSameLife) {
				known.server = server;
			}

			next.set(
				server.id,
				known && isSameLife ? known : createLoad(server, this.#usual),
			);
		}

		this.#loads = next;
	}

	/** Takes the requests that other daemons have under way, by server. */
	noteOthers(inFlight: Readonly<Record<string, number>>): void {
		for (const [id, load] of this.#loads) {
			load.othersInFlight = inFlight[id] ?? 0;
		}
	}

	/** Takes the shared parts that other daemons have sent. */
	noteShared(parts: readonly SharedPart[], nowMs: number): void {
		for (const {serverId, ...part} of parts) {
			this.#loads.get(serverId)?.parts.note(part, nowMs);
		}
	}

	/** Requests of this daemon that are under way, by server; servers without any are left out. */
	describeInFlight(): Record<string, number> {
		const busy = [...this.#loads].filter(([, {inFlight}]) => inFlight > 0);
		return Object.fromEntries(busy.map(([id, {inFlight}]) => [id, inFlight]));
	}

	/** Servers of a service that take new requests; those to avoid only when there are no others. */
	candidates(service: string, nowMs: number): ServerLoad[] {
		const all = [...this.#loads.values()].filter(
			({server, isClosing}) =>
				server.service === service && !server.isLeaving && !isClosing,
		);
		const usable = all.filter(
			({avoidUntilMs, health}) =>
				avoidUntilMs <= nowMs && !health.isAvoided(nowMs),
		);
		return usable.length > 0 ? usable : all;
	}

	all(): ServerLoad[] {
		return [...this.#loads.values()];
	}
}
