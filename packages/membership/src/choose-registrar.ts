import type {DaemonId, ZoneName} from '@marjoramcove/types';
import {hashText, rankByHash} from './hash.ts';

/** How far above the even share the registrars of a zone may be loaded by the daemons of the zone. */
const MAX_ZONE_LOAD = 1.25;

type Located = {daemonId: DaemonId; zone: ZoneName};

/** A number from 0 to 1 that depends only on the text. */
const shareOf = (text: string): number => Number(hashText(text)) / 2 ** 64;

/**
 * Registrars of a daemon, the preferred one first, by rendezvous hashing. A daemon prefers the
 * registrars of its own availability zone, except for the part of the daemons of a zone that would
 * load these registrars by more than a quarter above the even share.
 *
 * @example
 * ```ts
 * rankRegistrars({daemonId, zone}, registrars, daemons)[0]?.daemonId;
 * ```
 */
export const rankRegistrars = (
	daemon: Located,
	registrars: readonly Located[],
	daemons: ReadonlyArray<Pick<Located, 'zone'>>,
): Located[] => {
	const ranked = rankByHash(
		`registrar ${daemon.daemonId}`,
		registrars,
		({daemonId}) => daemonId,
	);
	const near = ranked.filter(({zone}) => zone === daemon.zone);
	const zoneDaemons = Math.max(
		1,
		daemons.filter(({zone}) => zone === daemon.zone).length,
	);
	const evenShare = Math.max(1, daemons.length) / registrars.length;
	const nearShare = (MAX_ZONE_LOAD * evenShare * near.length) / zoneDaemons;
	const isNear = shareOf(`zone ${daemon.daemonId}`) < nearShare;
	const far = ranked.filter(({zone}) => zone !== daemon.zone);
	return isNear ? [...near, ...far] : [...far, ...near];
};
