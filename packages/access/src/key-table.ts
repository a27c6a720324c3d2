import type {Team} from '@marjoramcove/routes';
import type {CallerId, KeyDigest} from '@marjoramcove/types';

/** Teams of a routing document by the digests of their keys. */
export class KeyTable {
	readonly #teamsByKey = new Map<KeyDigest, Team>();
	readonly #teamsById = new Map<CallerId, Team>();

	constructor(teams: readonly Team[]) {
		for (const team of teams) {
			this.#teamsById.set(team.id, team);
			for (const digest of team.keyDigests) {
				this.#teamsByKey.set(digest, team);
			}
		}
	}

	get teamCount(): number {
		return this.#teamsById.size;
	}

	get keyCount(): number {
		return this.#teamsByKey.size;
	}

	/** Returns the team that holds a key. */
	findByKey(digest: KeyDigest): Team | undefined {
		return this.#teamsByKey.get(digest);
	}

	findById(id: CallerId): Team | undefined {
		return this.#teamsById.get(id);
	}
}
