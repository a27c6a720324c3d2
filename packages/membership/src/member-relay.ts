import type {DaemonId} from '@marjoramcove/types';
import {
	applyMembershipUpdate,
	createMembershipView,
	type MembershipUpdate,
	type MembershipView,
} from './queries.ts';

/** Copy of the leader's membership on a registrar, which passes the changes on to its daemons. */
export type MemberRelay = {
	view: MembershipView;
	/** Version of the update that last changed or removed a daemon. */
	changedAt: Map<DaemonId, number>;
	/** Version of the last full list; changes before it are not known. */
	floor: number;
};

/** Creates an empty copy. */
export const createMemberRelay = (): MemberRelay => ({
	view: createMembershipView(),
	changedAt: new Map(),
	floor: 0,
});

/**
 * Takes an update of the leader.
 *
 * @returns whether the copy covers the update; when not, a full list is to be asked for.
 */
export const updateRelay = (
	relay: MemberRelay,
	update: MembershipUpdate,
): boolean => {
	const {view} = relay;
	if (view.epoch === update.epoch && update.version <= view.version) {
		return true;
	}

	if (!applyMembershipUpdate(view, update)) {
		return false;
	}

	if (update.since === undefined) {
		relay.changedAt.clear();
		relay.floor = update.version;
	}

	for (const daemonId of [
		...update.lost,
		...update.changed.map((member) => member.daemonId),
	]) {
		relay.changedAt.set(daemonId, update.version);
	}

	return true;
};

/**
 * Changes for a daemon after a version of the same epoch, or the full list. A daemon that already has
 * a later version from another registrar gets no changes.
 */
export const relaySince = (
	{view, changedAt, floor}: MemberRelay,
	known?: {epoch: string; version: number},
): MembershipUpdate => {
	const {epoch, version, members} = view;
	if (known?.epoch !== epoch || known.version < floor) {
		return {epoch, version, changed: [...members.values()], lost: []};
	}

	const ids = [...changedAt]
		.filter(([, changed]) => changed > known.version)
		.map(([daemonId]) => daemonId);
	return {
		epoch,
		version,
		since: known.version,
		changed: ids.flatMap((daemonId) => members.get(daemonId) ?? []),
		lost: ids.filter((daemonId) => !members.has(daemonId)),
	};
};
