import type {MemberReport} from '@marjoramcove/membership';
import type {DaemonId} from '@marjoramcove/types';
import type {PeersService} from './peers-service.ts';

/** Reports of the daemons of a registrar, with their load. */
export type RegistrarReports = {
	reports: Array<{report: MemberReport; sequence: number}>;
};

/** A registrar that is lost must not delay the list of daemons for long. */
const timeoutMs = 500;

/** Asks the registrars for the newest load of their daemons; silent registrars are left out. */
export const readLoads = async (
	peers: PeersService,
	registrarIds: readonly DaemonId[],
): Promise<Map<DaemonId, MemberReport['load']>> => {
	const answers = await Promise.allSettled(
		registrarIds.map(async (registrarId) =>
			peers.call<RegistrarReports>(
				registrarId,
				'config.reports',
				{},
				{timeoutMs, channel: 'control'},
			),
		),
	);
	const entries = answers.flatMap((answer) =>
		answer.status === 'fulfilled' ? answer.value.reports : [],
	);
	// A daemon that moved is in two answers; the later heartbeat overwrites the earlier one.
	entries.sort((a, b) => a.sequence - b.sequence);
	return new Map(
		entries.map(({report}) => [report.daemonId, report.load] as const),
	);
};
