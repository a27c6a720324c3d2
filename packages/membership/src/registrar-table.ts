import type {DaemonId, IncarnationId} from '@marjoramcove/types';
import {
	digestRegistrations,
	type Notice,
	type Registration,
	type RosterSummary,
} from './roster.ts';
import type {MembershipState} from './state.ts';
import {stepMembership} from './step-membership.ts';

type Mirror = {
	incarnation: IncarnationId;
	version: number;
	members: Map<DaemonId, Registration>;
	lastHeardMs: number;
};

/** The leader's copies of the rosters of all registrars. */
export type RegistrarTable = {
	mirrors: Map<DaemonId, Mirror>;
	/** Registrar that received the newest heartbeat of a daemon. */
	holders: Map<DaemonId, DaemonId>;
};

/** Roster summary with its sender. */
export type RegistrarSummary = {
	registrarId: DaemonId;
	incarnation: IncarnationId;
	summary: RosterSummary;
};

/** Creates an empty table. */
export const createRegistrarTable = (): RegistrarTable => ({
	mirrors: new Map(),
	holders: new Map(),
});

/**
 * Applies a summary to the copy of a roster.
 *
 * @returns undefined if the copy lacks earlier changes or does not match the digest afterwards.
 */
const updateMirror = (
	table: RegistrarTable,
	{registrarId, incarnation, summary}: RegistrarSummary,
	nowMs: number,
): Mirror | undefined => {
	const known = table.mirrors.get(registrarId);
	const base = known?.incarnation === incarnation ? known : undefined;
	if (base && summary.version < base.version) {
		// A delayed duplicate; the registrar has reported later versions since.
		return base;
	}

	const {since} = summary;
	if (since !== undefined && (!base || since > base.version)) {
		return undefined;
	}

	const members = new Map(since === undefined ? [] : base!.members);
	for (const {daemonId} of summary.removed) {
		members.delete(daemonId);
	}

	for (const registration of summary.changed) {
		members.set(registration.report.daemonId, registration);
	}

	if (digestRegistrations(members.values()) !== summary.digest) {
		return undefined;
	}

	const mirror = {
		incarnation,
		version: summary.version,
		members,
		lastHeardMs: nowMs,
	};
	table.mirrors.set(registrarId, mirror);
	return mirror;
};

/** Applies one report to the membership and returns whether it is newer than the known one. */
const applyRegistration = (
	membership: MembershipState,
	{sequence, report}: Registration,
	nowMs: number,
): boolean => {
	const {daemonId, incarnation} = report;
	const previousSequence = membership.members.get(daemonId)?.sequence;
	const previousIncarnation =
		membership.members.get(daemonId)?.report.incarnation;
	stepMembership(membership, {type: 'heartbeat', sequence, report}, nowMs);
	const record = membership.members.get(daemonId);
	return (
		record?.report.incarnation === incarnation &&
		(record.sequence !== previousSequence ||
			incarnation !== previousIncarnation)
	);
};

/**
 * Applies the summary of a registrar to the membership of the leader.
 *
 * @returns whether the copy of the roster matches; if not, the registrar must send a full summary.
 * @example
 * ```ts
 * if (!applySummary(table, membership, {registrarId, incarnation, summary}, nowMs)) requestFullSummary();
 * ```
 */
export const applySummary = (
	table: RegistrarTable,
	membership: MembershipState,
	sender: RegistrarSummary,
	nowMs: number,
): boolean => {
	const {registrarId, summary} = sender;
	const previous = table.mirrors.get(registrarId)?.members;
	const mirror = updateMirror(table, sender, nowMs);
	if (!mirror) {
		return false;
	}

	mirror.lastHeardMs = nowMs;
	for (const registration of summary.changed) {
		if (applyRegistration(membership, registration, nowMs)) {
			table.holders.set(registration.report.daemonId, registrarId);
		}
	}

	const isHeld = (daemonId: DaemonId) =>
		table.holders.get(daemonId) === registrarId;
	stepMembership(
		membership,
		{
			type: 'silent',
			daemonIds: [...(previous?.keys() ?? [])].filter(
				(daemonId) => !mirror.members.has(daemonId) && isHeld(daemonId),
			),
		},
		nowMs,
	);
	stepMembership(
		membership,
		{
			type: 'alive',
			daemons: [...mirror.members.values()]
				.map(({report: {daemonId, incarnation}}) => ({daemonId, incarnation}))
				.filter(({daemonId}) => isHeld(daemonId)),
		},
		nowMs,
	);
	return true;
};

/**
 * Marks registrars that have been silent for `timeoutMs` as lost. Their daemons are given more time,
 * because they first have to find another registrar.
 */
export const expireRegistrars = (
	table: RegistrarTable,
	membership: MembershipState,
	timeoutMs: number,
	nowMs: number,
): void => {
	stepMembership(
		membership,
		{
			type: 'silent',
			daemonIds: [...table.mirrors]
				.filter(
					([registrarId, {lastHeardMs}]) =>
						nowMs - lastHeardMs >= timeoutMs &&
						table.holders.get(registrarId) === registrarId,
				)
				.map(([registrarId]) => registrarId),
		},
		nowMs,
	);
};

/** Collects the notices of all live daemons, each from the registrar with the daemon's newest heartbeat. */
export const collectNotices = (
	table: RegistrarTable,
	membership: MembershipState,
): Notice[] => {
	const notices: Notice[] = [];
	for (const [registrarId, {members}] of table.mirrors) {
		for (const [daemonId, registration] of members) {
			if (
				registration.notices &&
				table.holders.get(daemonId) === registrarId &&
				membership.members.get(daemonId)?.live
			) {
				notices.push(...registration.notices);
			}
		}
	}

	return notices;
};
