import type {UpstreamId} from '@marjoramcove/types';
import type {ServerLoad} from './server-table.ts';

/** What decides between servers. */
export type ServerChoice = {
	/** Zone of this daemon. */
	zone: string;
	/** Requests with the same key share a prompt; absent for plain requests. */
	affinityKey?: string;
	/** Entry daemons that use the servers of the zone. */
	entryCount: number;
	/** Servers that this request has been sent to already. */
	excludedIds: ReadonlySet<UpstreamId>;
	/** Uniform in [0, 1). */
	random: () => number;
};

/** Load at which a server of another zone is preferred to one of the own zone, in shares of slots. */
const OTHER_ZONE_PENALTY = 0.5;

/** Servers that may hold the prompt of a program: the second one takes over when the first is busy. */
const AFFINE_SERVERS = 2;

/** FNV-1a; all daemons must compute the same value. */
const hashText = (text: string): number => {
	let hash = 0x81_1c_9d_c5;
	for (let index = 0; index < text.length; index++) {
		// eslint-disable-next-line no-bitwise
		hash = Math.imul(hash ^ text.codePointAt(index)!, 0x01_00_01_93);
	}

	// The final mix spreads keys that differ only in their last characters.
	// eslint-disable-next-line no-bitwise
	hash = Math.imul(hash ^ (hash >>> 15), 0x2c_1b_3c_6d);
	// eslint-disable-next-line no-bitwise
	return (hash ^ (hash >>> 13)) >>> 0;
};

const rankByAffinity = (
	loads: readonly ServerLoad[],
	affinityKey: string,
): ServerLoad[] =>
	loads
		.map((load) => ({
			load,
			hash: hashText(`${affinityKey} ${load.server.id}`),
		}))
		.toSorted((a, b) => b.hash - a.hash)
		.map(({load}) => load);

const chooseLeastLoaded = (
	loads: readonly ServerLoad[],
	{zone, entryCount, random}: ServerChoice,
): ServerLoad | undefined => {
	let best: {load: ServerLoad; cost: number} | undefined;
	for (const load of loads) {
		const share = load.server.slots / entryCount;
		const penalty = load.server.zone === zone ? 0 : OTHER_ZONE_PENALTY;
		// The random part breaks ties, so that daemons with the same view spread their requests.
		const cost = load.inFlight / share + penalty + random() * 0.01;
		if (!best || cost < best.cost) {
			best = {load, cost};
		}
	}

	return best?.load;
};

/**
 * Chooses the server of a request.
 *
 * @param candidates - servers of one service that take new requests.
 * @returns `undefined` when none is left.
 * @example
 * ```ts
 * const load = chooseServer(table.candidates('desk', nowMs), {zone: 'a', entryCount: 3, excludedIds: new Set(), random: Math.random});
 * ```
 */
export const chooseServer = (
	candidates: readonly ServerLoad[],
	choice: ServerChoice,
): ServerLoad | undefined => {
	const {zone, affinityKey, entryCount, excludedIds} = choice;
	const usable = candidates.filter(({server}) => !excludedIds.has(server.id));
	if (affinityKey !== undefined) {
		const inZone = usable.filter(({server}) => server.zone === zone);
		const affine = rankByAffinity(inZone, affinityKey).slice(0, AFFINE_SERVERS);
		const withRoom = affine.find(
			({inFlight, server}) =>
				inFlight < Math.max(1, Math.floor(server.slots / entryCount)),
		);
		if (withRoom) {
			return withRoom;
		}
	}

	return chooseLeastLoaded(usable, choice);
};
