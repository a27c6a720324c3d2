import type {ListedServer} from '@marjoramcove/inventory';
import type {UpstreamId} from '@marjoramcove/types';

/** A server and what this daemon knows of its load. */
export type ServerLoad = {
	server: ListedServer;
	/** Requests of this daemon that it has not answered. */
	inFlight: number;
	/** It is avoided until this time of the monotonic clock. */
	avoidUntilMs: number;
	/** It said itself that it is leaving; the list may not show it yet. */
	isClosing: boolean;
};

/**
 * The servers of the list with the load that this daemon causes.
 *
 * @example
 * ```ts
 * const table = new ServerTable();
 * table.replace(servers);
 * ```
 */
export class ServerTable {
	#loads = new Map<UpstreamId, ServerLoad>();

	/** Takes a new list. A server that started again under its id has no load and no faults. */
	replace(servers: readonly ListedServer[]): void {
		const next = new Map<UpstreamId, ServerLoad>();
		for (const server of servers) {
			const known = this.#loads.get(server.id);
			const isSameLife =
				known?.server.address === server.address &&
				known.server.bornAtMs === server.bornAtMs;
			if (known && isSameLife) {
				known.server = server;
				next.set(server.id, known);
			} else {
				next.set(server.id, {
					server,
					inFlight: 0,
					avoidUntilMs: 0,
					isClosing: false,
				});
			}
		}

		this.#loads = next;
	}

	/** Servers of a service that take new requests; those to avoid only when there are no others. */
	candidates(service: string, nowMs: number): ServerLoad[] {
		const all = [...this.#loads.values()].filter(
			({server, isClosing}) =>
				server.service === service && !server.isLeaving && !isClosing,
		);
		const usable = all.filter(({avoidUntilMs}) => avoidUntilMs <= nowMs);
		return usable.length > 0 ? usable : all;
	}

	all(): ServerLoad[] {
		return [...this.#loads.values()];
	}
}
