import {type DaemonId, hashText, type UpstreamId} from '@marjoramcove/types';
import {combineHashes} from './combine-hashes.ts';

/** Entry daemons that hold connections to a server at least, in its zone and in all. */
const DAEMONS_IN_ZONE = 4;
const DAEMONS_IN_ALL = 8;

/** Servers of a service that an entry daemon holds connections to at least, in its zone first. */
const MIN_SUBSET = 24;

/**
 * Up to this many entry daemons or servers of a service, all are connected to all: the connections are few,
 * and a subset would only lengthen queues.
 */
const MAX_SMALL_DAEMONS = 8;
const MAX_SMALL_SERVERS = 32;

/** An entry daemon as far as the subsets are concerned. */
export type SubsetDaemon = {daemonId: DaemonId; zone: string};

/** A server as far as the subsets are concerned. */
export type SubsetServer = {id: UpstreamId; zone: string};

type HashedDaemon = {hash: number; zone: string};

/** Whether fewer than `limit` of the daemons come before this one in the order of the server. */
const isAmongFirst = (
	others: readonly HashedDaemon[],
	self: HashedDaemon,
	serverHash: number,
	limit: number,
): boolean => {
	const own = combineHashes(self.hash, serverHash);
	let before = 0;
	for (const {hash} of others) {
		before += combineHashes(hash, serverHash) < own ? 1 : 0;
		if (before >= limit) {
			return false;
		}
	}

	return true;
};

/**
 * Servers of one service to which an entry daemon holds connections. The load that it answers: hundreds of
 * entry daemons and servers, where a connection for each pair costs handshakes and fills the servers'
 * connection limit.
 *
 * The first entry daemons of the rendezvous order of each server, in its zone and in all, hold connections to
 * it, so that each server is reached by enough; each daemon adds the first servers of its own order, so that it
 * reaches enough. A server or daemon that joins or leaves changes only the subsets that it belongs to.
 *
 * @returns `undefined` if the daemon may hold connections to all servers.
 * @example
 * ```ts
 * const subset = chooseSubset({daemonId, zone: 'a'}, daemons, servers);
 * ```
 */
export const chooseSubset = (
	self: SubsetDaemon,
	daemons: readonly SubsetDaemon[],
	servers: readonly SubsetServer[],
): ReadonlySet<UpstreamId> | undefined => {
	if (
		daemons.length <= MAX_SMALL_DAEMONS ||
		servers.length <= MAX_SMALL_SERVERS
	) {
		return undefined;
	}

	const hashedSelf = {hash: hashText(self.daemonId), zone: self.zone};
	const others = daemons
		.filter(({daemonId}) => daemonId !== self.daemonId)
		.map(({daemonId, zone}) => ({hash: hashText(daemonId), zone}));
	const othersInZone = others.filter(({zone}) => zone === self.zone);
	const ranked = servers
		.map(({id, zone}) => ({id, zone, hash: hashText(id)}))
		.map((server) => ({
			...server,
			rank: combineHashes(hashedSelf.hash, server.hash),
			isOtherZone: server.zone === self.zone ? 0 : 1,
		}))
		.sort((a, b) => a.isOtherZone - b.isOtherZone || a.rank - b.rank);
	const subset = new Set(ranked.slice(0, MIN_SUBSET).map(({id}) => id));
	for (const {id, zone, hash} of ranked) {
		const isOfZone =
			zone === self.zone &&
			isAmongFirst(othersInZone, hashedSelf, hash, DAEMONS_IN_ZONE);
		if (isOfZone || isAmongFirst(others, hashedSelf, hash, DAEMONS_IN_ALL)) {
			subset.add(id);
		}
	}

	return subset;
};

/**
 * Subsets of all services. They are chosen anew only when servers or entry daemons join or leave, because
 * other changes of members are frequent.
 *
 * @example
 * ```ts
 * const subsets = new ServerSubsets();
 * subsets.setDaemons({daemonId, zone: 'a'}, daemons);
 * subsets.setServers(servers);
 * subsets.isOutside(server); // false
 * ```
 */
export class ServerSubsets {
	#self: SubsetDaemon | undefined;
	#daemons: readonly SubsetDaemon[] = [];
	#servers: ReadonlyArray<SubsetServer & {service: string}> = [];
	readonly #subsets = new Map<string, ReadonlySet<UpstreamId> | undefined>();

	setDaemons(self: SubsetDaemon, daemons: readonly SubsetDaemon[]): void {
		const identify = (list: readonly SubsetDaemon[]) =>
			list
				.map(({daemonId, zone}) => `${daemonId} ${zone}`)
				.sort()
				.join(',');
		const isChanged =
			this.#self === undefined || identify(daemons) !== identify(this.#daemons);
		this.#self = self;
		this.#daemons = daemons;
		if (isChanged) {
			this.#subsets.clear();
		}
	}

	setServers(servers: ReadonlyArray<SubsetServer & {service: string}>): void {
		const identify = (list: typeof servers) =>
			list
				.map(({id, zone, service}) => `${id} ${zone} ${service}`)
				.sort()
				.join(',');
		if (identify(servers) !== identify(this.#servers)) {
			this.#servers = servers;
			this.#subsets.clear();
		}
	}

	/** Whether the daemon should rather use other servers of the service. */
	isOutside({id, service}: {id: UpstreamId; service: string}): boolean {
		if (!this.#self) {
			return false;
		}

		if (!this.#subsets.has(service)) {
			const servers = this.#servers.filter(
				(server) => server.service === service,
			);
			const subset = chooseSubset(this.#self, this.#daemons, servers);
			this.#subsets.set(service, subset);
		}

		return this.#subsets.get(service)?.has(id) === false;
	}
}
