import {type AffinityKey, hashText} from '@marjoramcove/types';
import {combineHashes} from './combine-hashes.ts';
import type {ServerLoad} from './server-table.ts';

/** Cost of the second server of an object, as a share of the cost of a server that does not handle it. */
const SECOND_SERVER_SHARE = 0.5;

/**
 * Ranks the servers for an object by rendezvous hashing. All daemons with the same servers compute the same
 * ranking without storing or exchanging anything per object, and only the objects of a server that joins or
 * leaves move.
 *
 * The load that it answers: thousands of objects, most of them requested rarely and a few often. The first
 * server of an object handles it until its queue costs more than the object's state saves; then the second
 * one takes over a part, so that a frequently requested object becomes warm on two servers and not on all.
 *
 * @example
 * ```ts
 * const ranking = new AffinityRanking(key, table.candidates('desk', nowMs));
 * ranking.coldShare(load); // 0 for the first server of the object
 * ```
 */
export class AffinityRanking {
	readonly #first: {load: ServerLoad; weight: number} | undefined;
	readonly #second: {load: ServerLoad; weight: number} | undefined;

	constructor(key: AffinityKey, servers: readonly ServerLoad[]) {
		const keyHash = hashText(key);
		for (const load of servers) {
			const ranked = {load, weight: combineHashes(keyHash, load.idHash)};
			if (!this.#first || ranked.weight > this.#first.weight) {
				this.#second = this.#first;
				this.#first = ranked;
			} else if (!this.#second || ranked.weight > this.#second.weight) {
				this.#second = ranked;
			}
		}
	}

	/** Returns the share of the time that an object's state saves which is lost on this server. */
	coldShare(load: ServerLoad): number {
		if (load === this.#first?.load) {
			return 0;
		}

		return load === this.#second?.load ? SECOND_SERVER_SHARE : 1;
	}
}
