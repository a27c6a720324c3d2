import type {DaemonId, IncarnationId, ZoneName} from '@marjoramcove/types';

export type DaemonPhase = 'starting' | 'ready' | 'draining';

/** What a daemon reports of itself in a heartbeat. */
export type MemberReport = {
	daemonId: DaemonId;
	incarnation: IncarnationId;
	/** Wall clock of the VM at the start of the incarnation. */
	startedAtMs?: number;
	zone: ZoneName;
	/** HTTP address for callers. */
	address: string;
	/** Address for other daemons. */
	peerAddress?: string;
	phase: DaemonPhase;
	appliedRevision: number;
	/** Load summary; opaque to this package and not part of the version. */
	load?: Record<string, number>;
};

/** Part of a member that other daemons need; a change of it is a new version. */
export type Member = Pick<
	MemberReport,
	'daemonId' | 'incarnation' | 'zone' | 'address' | 'peerAddress' | 'phase'
>;

/** A daemon as the leader knows it. */
export type MemberRecord = {
	report: MemberReport;
	/** Number of the newest heartbeat of this incarnation. */
	sequence: number;
	lastHeardMs: number;
	/** Whether the daemon counts as live; decided by the ticks. */
	live: boolean;
	/** Version at which the daemon last changed. */
	changedAt: number;
	/** Earlier incarnations, the newest last; their late heartbeats are ignored. */
	pastIncarnations: IncarnationId[];
};

/** Public part of a report. */
export const toMember = ({
	daemonId,
	incarnation,
	zone,
	address,
	peerAddress,
	phase,
}: MemberReport): Member => ({
	daemonId,
	incarnation,
	zone,
	address,
	...(peerAddress !== undefined && {peerAddress}),
	phase,
});

/** Whether two reports look the same to other daemons. */
export const isSameMember = (a: MemberReport, b: MemberReport): boolean =>
	a.incarnation === b.incarnation &&
	a.zone === b.zone &&
	a.address === b.address &&
	a.peerAddress === b.peerAddress &&
	a.phase === b.phase;

/**
 * Whether a report is of an earlier incarnation than the known one. The wall clock at the start orders
 * them, because registrars may report them in any order. While the known incarnation is silent, the
 * clock alone does not exclude a report: it may have been set back before a restart.
 */
export const isOfEarlierIncarnation = (
	known: {
		report: MemberReport;
		live: boolean;
		pastIncarnations: readonly IncarnationId[];
	},
	report: MemberReport,
): boolean => {
	if (report.incarnation === known.report.incarnation) {
		return false;
	}

	const isPast = known.pastIncarnations.includes(report.incarnation);
	const knownStartMs = known.report.startedAtMs;
	if (report.startedAtMs === undefined || knownStartMs === undefined) {
		return isPast;
	}

	return report.startedAtMs < knownStartMs && (known.live || isPast);
};
