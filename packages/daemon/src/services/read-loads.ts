import type {MemberReport} from '@marjoramcove/membership';
import type {DaemonId} from '@marjoramcove/types';
import type {PeersService} from './peers-service.ts';

/** Reports of the daemons that send their heartbeats to a registrar, including their load. */
export type RegistrarReports = {
	reports: Array<{report: MemberReport; sequence: number}>;
};

/** Short, so that an unreachable registrar delays the list of daemons only a little. */
const timeoutMs = 500;

/** Reads the latest load of all daemons from the registrars; omits registrars that do not answer in time. */
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
	// A daemon that switched registrars is in two answers; its later heartbeat overwrites the earlier one.
	entries.sort((a, b) => a.sequence - b.sequence);
	return new Map(
		entries.map(({report}) => [report.daemonId, report.load] as const),
	);
};
