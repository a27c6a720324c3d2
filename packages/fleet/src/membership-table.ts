import type {DaemonId} from '@marjoramcove/types';
import type {FleetMember} from './member.ts';

/** A report and the local time at which it was received from its daemon. */
export type ReceivedReport = {report: FleetMember; receivedAtMs: number};

/** Latest report of each daemon known to a control daemon. Only the functions of this module modify it. */
export type MembershipTable = {
	members: Map<DaemonId, ReceivedReport>;
	/** Incremented by each change that is published to other daemons. */
	version: number;
};

/**
 * Creates an empty membership table.
 *
 * @example
 * ```ts
 * const table = createMembershipTable();
 * ```
 */
export const createMembershipTable = (): MembershipTable => ({
	members: new Map(),
	version: 0,
});

/**
 * Serializes the published fields; sequence and document version are omitted because they change often.
 *
 * @example
 * ```ts
 * const isChanged = serializePublishedFields(before) !== serializePublishedFields(after);
 * ```
 */
export const serializePublishedFields = ({
	sequence: _sequence,
	documentVersion: _documentVersion,
	...visible
}: FleetMember): string => JSON.stringify(visible);

/** Two parents may forward reports of the same daemon; an older report must not replace a newer one. */
const isOutdated = (
	received: ReceivedReport,
	known: ReceivedReport,
): boolean =>
	received.report.incarnation === known.report.incarnation
		? received.report.sequence <= known.report.sequence
		: received.receivedAtMs < known.receivedAtMs;

/**
 * Records a report unless a newer one of the same daemon is known.
 *
 * @returns whether the table changed in a way that is published to other daemons.
 * @example
 * ```ts
 * recordReport(table, {report, receivedAtMs: performance.now()});
 * ```
 */
export const recordReport = (
	table: MembershipTable,
	received: ReceivedReport,
): boolean => {
	const {daemonId} = received.report;
	const known = table.members.get(daemonId);
	if (known && isOutdated(received, known)) {
		known.receivedAtMs = Math.max(
			known.receivedAtMs,
			received.report.incarnation === known.report.incarnation &&
				received.report.sequence === known.report.sequence
				? received.receivedAtMs
				: 0,
		);
		return false;
	}

	table.members.set(daemonId, received);
	const isChanged =
		!known ||
		serializePublishedFields(known.report) !==
			serializePublishedFields(received.report);
	table.version += isChanged ? 1 : 0;
	return isChanged;
};

/**
 * Removes the daemons whose last report is older than the timeout.
 *
 * @returns the removed daemons.
 * @example
 * ```ts
 * const removed = removeExpiredMembers(table, performance.now(), 2000);
 * ```
 */
export const removeExpiredMembers = (
	table: MembershipTable,
	nowMs: number,
	timeoutMs: number,
): FleetMember[] => {
	const removed: FleetMember[] = [];
	for (const [daemonId, {report, receivedAtMs}] of table.members) {
		if (nowMs - receivedAtMs > timeoutMs) {
			table.members.delete(daemonId);
			removed.push(report);
		}
	}

	table.version += removed.length > 0 ? 1 : 0;
	return removed;
};

/**
 * Lists the latest report of each member, ordered by daemon id.
 *
 * @example
 * ```ts
 * const entries = listMembers(table).filter(({role}) => role === 'entry');
 * ```
 */
export const listMembers = (table: MembershipTable): FleetMember[] =>
	[...table.members.values()]
		.map(({report}) => report)
		.toSorted((a, b) => (a.daemonId < b.daemonId ? -1 : 1));
