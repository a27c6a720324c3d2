import type {FleetMember} from '@marjoramcove/fleet';

/** Maximum number of addresses in a response. */
const MAX_ADDRESSES = 64;

/** Minimum number of daemons to keep callers in their zone, so that losing one leaves another. */
const MIN_DAEMONS_IN_ZONE = 2;

/**
 * Chooses the addresses for a caller: the ready entry daemons in its zone, or all ready ones if the zone
 * has too few.
 *
 * @example
 * ```ts
 * const addresses = chooseEntryAddresses(view.membersWithRole('entry'), 'zone-a');
 * ```
 */
export const chooseEntryAddresses = (
	entries: readonly FleetMember[],
	zone: string | undefined,
): string[] => {
	const ready = entries.filter(
		({phase, entryAddress}) => phase === 'ready' && entryAddress !== undefined,
	);
	const inZone = ready.filter((entry) => entry.zone === zone);
	const chosen = inZone.length >= MIN_DAEMONS_IN_ZONE ? inZone : ready;
	return chosen.slice(0, MAX_ADDRESSES).map(({entryAddress}) => entryAddress!);
};
