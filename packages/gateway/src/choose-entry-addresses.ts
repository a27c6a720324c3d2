import type {FleetMember} from '@marjoramcove/fleet';

/** Maximum number of addresses in a response. */
const MAX_ADDRESSES = 64;

/** Minimum number of daemons to keep callers in their zone, so that losing one leaves another. */
const MIN_DAEMONS_IN_ZONE = 2;

/** Takes `count` items at random, each with the same probability (partial Fisher-Yates shuffle). */
const takeRandom = <Item>(
	items: readonly Item[],
	count: number,
	random: () => number,
): Item[] => {
	if (items.length <= count) {
		return [...items];
	}

	const shuffled = [...items];
	for (let index = 0; index < count; index++) {
		const other = index + Math.floor(random() * (shuffled.length - index));
		[shuffled[index], shuffled[other]] = [shuffled[other]!, shuffled[index]!];
	}

	return shuffled.slice(0, count);
};

/**
 * Chooses the addresses for a caller: the ready entry daemons in its zone, or all ready ones if the zone
 * has too few. Of more daemons than a response holds, each caller gets others, so that all of them share
 * the load.
 *
 * @param random - uniform random number in [0, 1).
 * @example
 * ```ts
 * const addresses = chooseEntryAddresses(view.membersWithRole('entry'), 'zone-a', Math.random);
 * ```
 */
export const chooseEntryAddresses = (
	entries: readonly FleetMember[],
	zone: string | undefined,
	random: () => number,
): string[] => {
	const ready = entries.filter(
		({phase, entryAddress}) => phase === 'ready' && entryAddress !== undefined,
	);
	const inZone = ready.filter((entry) => entry.zone === zone);
	const chosen = inZone.length >= MIN_DAEMONS_IN_ZONE ? inZone : ready;
	return takeRandom(chosen, MAX_ADDRESSES, random).map(
		({entryAddress}) => entryAddress!,
	);
};
