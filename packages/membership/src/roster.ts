import type {DaemonId, IncarnationId} from '@marjoramcove/types';
import {hashText} from './hash.ts';
import {
	isOfEarlierIncarnation,
	isSameMember,
	type MemberReport,
} from './members.ts';

/** Problem of an upstream as reported by a dispatcher; opaque to this package. */
export type Notice = Record<string, unknown>;

/** State of a daemon as reported by its registrar to the leader. */
export type Registration = {
	/** Sequence number of the heartbeat that contained the report. */
	sequence: number;
	report: MemberReport;
	/** Absent when the daemon reports no problems. */
	notices?: Notice[];
};

type RosterEntry = Registration & {
	lastSequence: number;
	lastHeardMs: number;
	changedAt: number;
	pastIncarnations: IncarnationId[];
};

/** Daemon that was removed after a silence, with the last revision that it reported. */
export type RemovedMember = {daemonId: DaemonId; appliedRevision: number};

/** Daemons that send their heartbeats to one registrar. */
export type Roster = {
	version: number;
	members: Map<DaemonId, RosterEntry>;
	removed: Map<
		DaemonId,
		{appliedRevision: number; changedAt: number; atMs: number}
	>;
};

/** Members of a registrar, or their changes after the version `since`. */
export type RosterSummary = {
	version: number;
	since?: number;
	changed: Registration[];
	removed: RemovedMember[];
	/** Digest of all members after the changes. */
	digest: string;
};

const MAX_PAST_INCARNATIONS = 8;

/** Creates an empty roster. */
export const createRoster = (): Roster => ({
	version: 0,
	members: new Map(),
	removed: new Map(),
});

const isSameRegistration = (a: Registration, b: Registration): boolean =>
	isSameMember(a.report, b.report) &&
	a.report.appliedRevision === b.report.appliedRevision &&
	JSON.stringify(a.notices ?? []) === JSON.stringify(b.notices ?? []);

/**
 * Records a heartbeat. A gap in the sequence numbers counts as a change, because the daemon may have used
 * another registrar in between; the leader then learns which registrar it uses now.
 *
 * @returns whether the leader must be informed.
 */
export const registerMember = (
	roster: Roster,
	registration: Registration,
	nowMs: number,
): boolean => {
	const {report, sequence} = registration;
	const known = roster.members.get(report.daemonId);
	const isRestarted = known && known.report.incarnation !== report.incarnation;
	if (
		known &&
		(isOfEarlierIncarnation({...known, live: true}, report) ||
			(!isRestarted && sequence <= known.lastSequence))
	) {
		return false;
	}

	if (
		known &&
		sequence === known.lastSequence + 1 &&
		isSameRegistration(known, registration)
	) {
		known.lastSequence = sequence;
		known.lastHeardMs = nowMs;
		known.report = report;
		return false;
	}

	roster.version++;
	roster.removed.delete(report.daemonId);
	roster.members.set(report.daemonId, {
		...registration,
		lastSequence: sequence,
		lastHeardMs: nowMs,
		changedAt: roster.version,
		pastIncarnations: isRestarted
			? [...known.pastIncarnations, known.report.incarnation]
					.filter((past) => past !== report.incarnation)
					.slice(-MAX_PAST_INCARNATIONS)
			: (known?.pastIncarnations ?? []),
	});
	return true;
};

/**
 * Removes silent daemons. Summaries list them as removed for `keepRemovedMs`, which must be longer than a
 * lease, because the leader must know every daemon that may still accept work under an older revision.
 *
 * @returns whether the leader must be informed.
 */
export const expireRoster = (
	roster: Roster,
	settings: {memberTimeoutMs: number; keepRemovedMs: number},
	nowMs: number,
): boolean => {
	const {version} = roster;
	for (const [daemonId, entry] of roster.members) {
		if (nowMs - entry.lastHeardMs >= settings.memberTimeoutMs) {
			roster.members.delete(daemonId);
			roster.version++;
			roster.removed.set(daemonId, {
				appliedRevision: entry.report.appliedRevision,
				changedAt: roster.version,
				atMs: nowMs,
			});
		}
	}

	for (const [daemonId, {atMs}] of roster.removed) {
		if (nowMs - atMs >= settings.keepRemovedMs) {
			roster.removed.delete(daemonId);
		}
	}

	return roster.version !== version;
};

/** Computes the digest of registrations, independent of their order. */
export const digestRegistrations = (
	registrations: Iterable<Registration>,
): string =>
	hashText(
		[...registrations]
			.map(
				({report, notices = []}) =>
					`${report.daemonId} ${report.incarnation} ${report.phase} ${report.address} ${report.appliedRevision} ${JSON.stringify(notices)}`,
			)
			.sort((a, b) => (a < b ? -1 : 1))
			.join('\n'),
	).toString(16);

const toRegistration = ({
	sequence,
	report,
	notices,
}: RosterEntry): Registration => {
	// The load changes with each heartbeat; the leader requests it only when an operator asks for it.
	const {load: _load, ...rest} = report;
	return {
		sequence,
		report: rest,
		...(notices && notices.length > 0 && {notices}),
	};
};

/**
 * Returns the changes after a version, or all members if no version is given.
 *
 * @example
 * ```ts
 * summariseRoster(roster, acknowledgedVersion).changed;
 * ```
 */
export const summariseRoster = (
	roster: Roster,
	since?: number,
): RosterSummary => ({
	version: roster.version,
	...(since !== undefined && {since}),
	changed: [...roster.members.values()]
		.filter(({changedAt}) => changedAt > (since ?? 0))
		.map((entry) => toRegistration(entry)),
	removed: [...roster.removed]
		.filter(([, {changedAt}]) => changedAt > (since ?? 0))
		.map(([daemonId, {appliedRevision}]) => ({daemonId, appliedRevision})),
	digest: digestRegistrations(roster.members.values()),
});
