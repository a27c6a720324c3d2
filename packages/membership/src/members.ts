import type {DaemonId, IncarnationId, ZoneName} from '@marjoramcove/types';

export type DaemonPhase = 'starting' | 'ready' | 'draining';

/** Report about itself that a daemon sends in a heartbeat. */
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
	/** Load summary; opaque to this package. A change of it creates no new version. */
	load?: Record<string, number>;
};

/** Part of a report that other daemons need; a change of it creates a new version. */
export type Member = Pick<
	MemberReport,
	'daemonId' | 'incarnation' | 'zone' | 'address' | 'peerAddress' | 'phase'
>;

/** State of a daemon as known to the leader. */
export type MemberRecord = {
	report: MemberReport;
	/** Sequence number of the newest heartbeat of this incarnation. */
	sequence: number;
	lastHeardMs: number;
	/** Whether the daemon is considered live; cleared when it has been silent for the member timeout. */
	live: boolean;
	/** Version at which the daemon last changed. */
	changedAt: number;
	/** Earlier incarnations, newest last; their delayed heartbeats are ignored. */
	pastIncarnations: IncarnationId[];
};

/** Extracts the part of a report that other daemons need. */
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

/** Whether two reports are equal in the part that other daemons need. */
export const isSameMember = (a: MemberReport, b: MemberReport): boolean =>
	a.incarnation === b.incarnation &&
	a.zone === b.zone &&
	a.address === b.address &&
	a.peerAddress === b.peerAddress &&
	a.phase === b.phase;

/**
 * Whether a report belongs to an earlier incarnation than the known one. Incarnations are ordered by the
 * wall clock at their start, because registrars may report them in any order. While the known incarnation
 * is silent, the clock alone does not exclude a report, because it may have been set back before a restart.
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
