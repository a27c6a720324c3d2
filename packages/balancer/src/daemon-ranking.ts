import {type DaemonId, hashText} from '@marjoramcove/types';
import {combineHashes} from './combine-hashes.ts';

/**
 * Ranks the entry daemons for a server by rendezvous hashing. Daemons that know the same members agree on the
 * ranking without a message, and a daemon that joins or leaves changes few ranks.
 *
 * @example
 * ```ts
 * const ranking = new DaemonRanking(selfId, ['10.0.0.1:7140', '10.0.0.2:7140']);
 * ranking.rank(hashText('s1')); // 0 or 1
 * ```
 */
export class DaemonRanking {
	readonly #selfHash: number | undefined;
	readonly #otherHashes: readonly number[];

	/** @param daemonIds - daemons that send requests; without `selfId` in them, this daemon has no rank. */
	constructor(selfId: DaemonId, daemonIds: readonly DaemonId[]) {
		this.#selfHash = daemonIds.includes(selfId) ? hashText(selfId) : undefined;
		this.#otherHashes = daemonIds
			.filter((id) => id !== selfId)
			.map((id) => hashText(id));
	}

	/** Number of ranked daemons. */
	get count(): number {
		return this.#otherHashes.length + (this.#selfHash === undefined ? 0 : 1);
	}

	/** Returns the rank of this daemon for a server, 0 for the first one; `undefined` without a rank. */
	rank(serverHash: number): number | undefined {
		if (this.#selfHash === undefined) {
			return undefined;
		}

		const own = combineHashes(this.#selfHash, serverHash);
		let rank = 0;
		for (const hash of this.#otherHashes) {
			rank += combineHashes(hash, serverHash) < own ? 1 : 0;
		}

		return rank;
	}
}
