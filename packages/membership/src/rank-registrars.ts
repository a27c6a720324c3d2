import type {DaemonId, ZoneName} from '@marjoramcove/types';
import {hashText, rankByHash} from './hash.ts';

/** Maximum load that the daemons of a zone put on its registrars, relative to an even share. */
const MAX_RELATIVE_ZONE_LOAD = 1.25;

type LocatedDaemon = {daemonId: DaemonId; zone: ZoneName};

/** Maps text deterministically to a number from 0 to 1. */
const hashToFraction = (text: string): number =>
	Number(hashText(text)) / 2 ** 64;

/**
 * Ranks the registrars for a daemon by rendezvous hashing, the preferred one first. A daemon prefers the
 * registrars of its own availability zone, except for the fraction of a zone's daemons that would load
 * these registrars by more than a quarter above an even share.
 *
 * @example
 * ```ts
 * rankRegistrars({daemonId, zone}, registrars, daemons)[0]?.daemonId;
 * ```
 */
export const rankRegistrars = (
	daemon: LocatedDaemon,
	registrars: readonly LocatedDaemon[],
	daemons: ReadonlyArray<Pick<LocatedDaemon, 'zone'>>,
): LocatedDaemon[] => {
	const ranked = rankByHash(
		`registrar ${daemon.daemonId}`,
		registrars,
		({daemonId}) => daemonId,
	);
	const sameZone = ranked.filter(({zone}) => zone === daemon.zone);
	const zoneDaemonCount = Math.max(
		1,
		daemons.filter(({zone}) => zone === daemon.zone).length,
	);
	const evenShare = Math.max(1, daemons.length) / registrars.length;
	const sameZoneFraction =
		(MAX_RELATIVE_ZONE_LOAD * evenShare * sameZone.length) / zoneDaemonCount;
	const prefersSameZone =
		hashToFraction(`zone ${daemon.daemonId}`) < sameZoneFraction;
	const otherZones = ranked.filter(({zone}) => zone !== daemon.zone);
	return prefersSameZone
		? [...sameZone, ...otherZones]
		: [...otherZones, ...sameZone];
};
