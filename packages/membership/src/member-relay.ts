import type {DaemonId} from '@marjoramcove/types';
import {
	applyMembershipUpdate,
	createMembershipView,
	type MembershipUpdate,
	type MembershipView,
} from './queries.ts';

/** Copy of the leader's membership on a registrar, which relays the changes to its daemons. */
export type MemberRelay = {
	view: MembershipView;
	/** Version of the update that last changed or removed a daemon. */
	changedAt: Map<DaemonId, number>;
	/** Version of the last full list; earlier changes are unknown. */
	fullListVersion: number;
};

/** Creates an empty copy. */
export const createMemberRelay = (): MemberRelay => ({
	view: createMembershipView(),
	changedAt: new Map(),
	fullListVersion: 0,
});

/**
 * Applies an update from the leader.
 *
 * @returns whether the copy includes the update; if not, a full list must be requested.
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
		relay.fullListVersion = update.version;
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
 * Returns the changes for a daemon after a version of the same epoch, or the full list. A daemon that
 * already has a later version from another registrar receives no changes.
 */
export const relayedUpdateSince = (
	{view, changedAt, fullListVersion}: MemberRelay,
	known?: {epoch: string; version: number},
): MembershipUpdate => {
	const {epoch, version, members} = view;
	if (known?.epoch !== epoch || known.version < fullListVersion) {
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
