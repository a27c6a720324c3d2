import {
	type DaemonId,
	type UpstreamId,
	type ZoneName,
	ADDRESS_TTL_MS,
} from '@marjoramcove/types';
import {rankByHash} from './hash.ts';
import {type Member, type MemberReport, toMember} from './members.ts';
import type {MembershipState} from './state.ts';

/**
 * Returns the daemons that sent a heartbeat within the member timeout, sorted by id.
 *
 * @example
 * ```ts
 * const dispatcher = chooseDispatcher(upstreamId, liveDaemons(state, nowMs).map(({daemonId}) => daemonId));
 * ```
 */
export const liveDaemons = (
	state: MembershipState,
	nowMs: number,
): MemberReport[] =>
	[...state.members.values()]
		.filter(
			(record) => nowMs - record.lastHeardMs < state.settings.memberTimeoutMs,
		)
		.map((record) => record.report)
		.sort((a, b) => (a.daemonId < b.daemonId ? -1 : 1));

/**
 * Whether the membership has existed for so long that a daemon unknown to it must be silent. Before that,
 * a new leader must not report daemons as lost.
 */
export const isMembershipSettled = (
	state: MembershipState,
	nowMs: number,
): boolean => nowMs - state.startedAtMs >= state.settings.memberTimeoutMs;

/**
 * Chooses the daemon that dispatches for an upstream by rendezvous hashing. When a daemon leaves, only
 * its own upstreams are reassigned.
 */
export const chooseDispatcher = (
	upstreamId: UpstreamId,
	live: readonly DaemonId[],
): DaemonId | undefined => rankByHash(upstreamId, live, (id) => id)[0];

export type AddressAnswer = {
	addresses: Array<{address: string; zone: ZoneName}>;
	ttlMs: number;
};

/** Maximum number of addresses in one answer; at the target scale, the full list would have 420. */
export const MAX_ADDRESSES = 16;

/**
 * Chooses the addresses for a caller: only ready daemons, the caller's zone first, in an order that
 * depends on the caller. Half of a long answer is reserved for other zones, so that a caller can still
 * connect when its zone fails.
 *
 * @example
 * ```ts
 * chooseAddresses(members, {callerKey: 'hall-7', zone}).addresses[0];
 * ```
 */
export const chooseAddresses = (
	members: readonly Member[],
	{
		callerKey,
		zone,
		ttlMs = ADDRESS_TTL_MS,
		limit = MAX_ADDRESSES,
	}: {callerKey: string; zone?: ZoneName; ttlMs?: number; limit?: number},
): AddressAnswer => {
	const ranked = rankByHash(
		callerKey,
		members.filter((member) => member.phase === 'ready'),
		(member) => member.daemonId,
	);
	const sameZone = ranked.filter((member) => member.zone === zone);
	const otherZones = ranked.filter((member) => member.zone !== zone);
	const sameZoneCount = Math.max(
		Math.ceil(limit / 2),
		limit - otherZones.length,
	);
	const chosen = [...sameZone.slice(0, sameZoneCount), ...otherZones].slice(
		0,
		limit,
	);
	return {
		addresses: chosen.map((member) => ({
			address: member.address,
			zone: member.zone,
		})),
		ttlMs,
	};
};

/** Members at a version, or the changes that lead to it, as sent from the leader to daemons. */
export type MembershipUpdate = {
	epoch: string;
	version: number;
	/** Version that the update starts from; absent for a full list. */
	since?: number;
	/** Live members that changed. */
	changed: Member[];
	/** Daemons that are no longer live. */
	lost: DaemonId[];
};

/** Returns the changes after a version of the same epoch, or the full list. */
export const membershipUpdateSince = (
	state: MembershipState,
	known?: {epoch: string; version: number},
): MembershipUpdate => {
	const isDelta =
		known?.epoch === state.epoch &&
		known.version <= state.version &&
		known.version >= state.oldestDeltaVersion;
	const since = isDelta ? known.version : 0;
	const changed = [...state.members.values()].filter(
		(record) => record.changedAt > since,
	);
	const removed = [...state.removed]
		.filter(([, version]) => version > since)
		.map(([daemonId]) => daemonId);
	return {
		epoch: state.epoch,
		version: state.version,
		...(isDelta && {since}),
		changed: changed
			.filter((record) => record.live)
			.map((record) => toMember(record.report)),
		lost: isDelta
			? [
					...changed
						.filter((record) => !record.live)
						.map((record) => record.report.daemonId),
					...removed,
				]
			: [],
	};
};

/** Copy of the membership on a daemon. */
export type MembershipView = {
	epoch: string;
	version: number;
	members: Map<DaemonId, Member>;
};

/** Creates an empty copy. */
export const createMembershipView = (): MembershipView => ({
	epoch: '',
	version: 0,
	members: new Map(),
});

/**
 * Applies an update to a copy. An older version of the same epoch has no effect.
 *
 * @returns whether the copy includes the update; if not, a full list must be requested.
 */
export const applyMembershipUpdate = (
	view: MembershipView,
	update: MembershipUpdate,
): boolean => {
	const isSameEpoch = view.epoch === update.epoch;
	if (isSameEpoch && update.version <= view.version) {
		return true;
	}

	if (update.since === undefined) {
		view.members.clear();
	} else if (!isSameEpoch || update.since > view.version) {
		return false;
	}

	for (const daemonId of update.lost) {
		view.members.delete(daemonId);
	}

	for (const member of update.changed) {
		view.members.set(member.daemonId, member);
	}

	view.epoch = update.epoch;
	view.version = update.version;
	return true;
};
