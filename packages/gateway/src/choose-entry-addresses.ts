import type {FleetMember} from '@marjoramcove/fleet';

/** Most addresses of one answer. */
const MAX_ADDRESSES = 64;

/** Daemons of a zone that its callers need, so that the loss of one leaves another one. */
const MIN_IN_ZONE = 2;

/**
 * Chooses the addresses for a caller: the ready entry daemons of its zone, or all of them when the zone
 * has too few.
 *
 * @example
 * ```ts
 * const addresses = chooseEntryAddresses(view.membersOf('entry'), 'zone-a');
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
	const chosen = inZone.length >= MIN_IN_ZONE ? inZone : ready;
	return chosen.slice(0, MAX_ADDRESSES).map(({entryAddress}) => entryAddress!);
};
