import type {DaemonId} from '@marjoramcove/types';
import type {FleetMember} from './member.ts';

/** A report and when it was heard from its daemon, by the clock of this process. */
export type HeardReport = {report: FleetMember; heardAtMs: number};

/** The daemons that a control daemon has heard of. Only the functions of this module change it. */
export type Roster = {
	members: Map<DaemonId, HeardReport>;
	/** Grows with each change that other daemons need to know. */
	version: number;
};

/**
 * Creates an empty roster.
 *
 * @example
 * ```ts
 * const roster = createRoster();
 * ```
 */
export const createRoster = (): Roster => ({members: new Map(), version: 0});

/** What other daemons need to know of a report; the sequence and the document version change often. */
const describeReport = ({
	sequence: _sequence,
	documentVersion: _documentVersion,
	...visible
}: FleetMember): string => JSON.stringify(visible);

/** Two parents may pass on reports of one daemon; the older one must not undo the newer one. */
const isOutdated = (heard: HeardReport, known: HeardReport): boolean =>
	heard.report.incarnation === known.report.incarnation
		? heard.report.sequence <= known.report.sequence
		: heard.heardAtMs < known.heardAtMs;

/**
 * Takes a report.
 *
 * @returns whether the roster changed in a way that other daemons need to know.
 * @example
 * ```ts
 * noteReport(roster, {report, heardAtMs: performance.now()});
 * ```
 */
export const noteReport = (roster: Roster, heard: HeardReport): boolean => {
	const {daemonId} = heard.report;
	const known = roster.members.get(daemonId);
	if (known && isOutdated(heard, known)) {
		known.heardAtMs = Math.max(
			known.heardAtMs,
			heard.report.incarnation === known.report.incarnation &&
				heard.report.sequence === known.report.sequence
				? heard.heardAtMs
				: 0,
		);
		return false;
	}

	roster.members.set(daemonId, heard);
	const isChanged =
		!known || describeReport(known.report) !== describeReport(heard.report);
	roster.version += isChanged ? 1 : 0;
	return isChanged;
};

/**
 * Removes the daemons that were silent for too long.
 *
 * @returns the removed daemons.
 * @example
 * ```ts
 * const lost = expireMembers(roster, performance.now(), 2000);
 * ```
 */
export const expireMembers = (
	roster: Roster,
	nowMs: number,
	silenceMs: number,
): FleetMember[] => {
	const lost: FleetMember[] = [];
	for (const [daemonId, {report, heardAtMs}] of roster.members) {
		if (nowMs - heardAtMs > silenceMs) {
			roster.members.delete(daemonId);
			lost.push(report);
		}
	}

	roster.version += lost.length > 0 ? 1 : 0;
	return lost;
};

/**
 * Lists the members, ordered by their ids.
 *
 * @example
 * ```ts
 * const entries = describeMembers(roster).filter(({role}) => role === 'entry');
 * ```
 */
export const describeMembers = (roster: Roster): FleetMember[] =>
	[...roster.members.values()]
		.map(({report}) => report)
		.toSorted((a, b) => (a.daemonId < b.daemonId ? -1 : 1));
