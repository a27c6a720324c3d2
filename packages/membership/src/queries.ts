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
 * Daemons that sent a heartbeat within the member timeout, by id.
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
 * Whether the membership has run long enough that a daemon it does not know is really silent. A new
 * leader must not report daemons as lost before.
 */
export const isMembershipSettled = (
	state: MembershipState,
	nowMs: number,
): boolean => nowMs - state.startedAtMs >= state.settings.memberTimeoutMs;

/**
 * The daemon that dispatches for an upstream: the first by rendezvous hashing. When a daemon leaves,
 * only its own upstreams move.
 */
export const chooseDispatcher = (
	upstreamId: UpstreamId,
	live: readonly DaemonId[],
): DaemonId | undefined => rankByHash(upstreamId, live, (id) => id)[0];

export type AddressAnswer = {
	addresses: Array<{address: string; zone: ZoneName}>;
	ttlMs: number;
};

/** Most addresses in one answer; at target size the full list would be 420 long. */
export const MAX_ADDRESSES = 16;

/**
 * Addresses for a caller: only ready daemons, the caller's zone first, in an order that depends on
 * the caller. Half of a long answer is left for other zones, so that a caller survives the loss of
 * its zone.
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
	const near = ranked.filter((member) => member.zone === zone);
	const far = ranked.filter((member) => member.zone !== zone);
	const nearCount = Math.max(Math.ceil(limit / 2), limit - far.length);
	const chosen = [...near.slice(0, nearCount), ...far].slice(0, limit);
	return {
		addresses: chosen.map((member) => ({
			address: member.address,
			zone: member.zone,
		})),
		ttlMs,
	};
};

/** Members at a version, as the leader sends them to daemons. */
export type MembershipUpdate = {
	epoch: string;
	version: number;
	/** Version that the update starts from; absent for a full list. */
	since?: number;
	/** Live members that changed. */
	changed: Member[];
	/** Daemons that are not live any more. */
	lost: DaemonId[];
};

/** Changes after a version of the same epoch, or the full list. */
export const membersSince = (
	state: MembershipState,
	known?: {epoch: string; version: number},
): MembershipUpdate => {
	const isDelta =
		known?.epoch === state.epoch &&
		known.version <= state.version &&
		known.version >= state.removedFloor;
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
 * @returns whether the copy covers the update; when not, a full list is to be asked for.
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
