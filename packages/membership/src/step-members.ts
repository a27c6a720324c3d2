import type {DaemonId, IncarnationId} from '@marjoramcove/types';
import {
	isOfEarlierIncarnation,
	isSameMember,
	type MemberRecord,
} from './members.ts';
import {
	MAX_RECENT_REMOVALS,
	type MembershipAction,
	type MembershipEvent,
	type MembershipState,
} from './state.ts';

/**
 * Maximum number of past incarnations kept per daemon. A heartbeat that is delayed by more restarts is
 * not recognised as outdated by its incarnation.
 */
const MAX_PAST_INCARNATIONS = 64;

type Heartbeat = Extract<MembershipEvent, {type: 'heartbeat'}>;

const markChanged = (state: MembershipState, record: MemberRecord): void => {
	state.version++;
	record.changedAt = state.version;
};

const isStale = (
	record: MemberRecord,
	{report, sequence}: Heartbeat,
): boolean =>
	isOfEarlierIncarnation(record, report) ||
	(report.incarnation === record.report.incarnation &&
		sequence <= record.sequence);

/** Records the incarnation that a new one replaces, and reports it as lost if it was live. */
const replaceIncarnation = (
	record: MemberRecord,
	incarnation: IncarnationId,
): MembershipAction[] => {
	const previous = record.report.incarnation;
	if (previous === incarnation) {
		return [];
	}

	record.pastIncarnations = [...record.pastIncarnations, previous]
		.filter((past) => past !== incarnation)
		.slice(-MAX_PAST_INCARNATIONS);
	return record.live
		? [
				{
					type: 'daemon-lost',
					daemonId: record.report.daemonId,
					incarnation: previous,
				},
			]
		: [];
};

/** Handles a heartbeat. Delayed duplicates and heartbeats of earlier incarnations have no effect. */
export const handleHeartbeat = (
	state: MembershipState,
	event: Heartbeat,
	nowMs: number,
): MembershipAction[] => {
	const {report, sequence} = event;
	const known = state.members.get(report.daemonId);
	if (known && isStale(known, event)) {
		return [];
	}

	const record = known ?? {
		report,
		sequence,
		lastHeardMs: nowMs,
		live: false,
		changedAt: 0,
		pastIncarnations: [],
	};
	const isChanged = !record.live || !isSameMember(record.report, report);
	const lost = replaceIncarnation(record, report.incarnation);
	Object.assign(record, {report, sequence, lastHeardMs: nowMs, live: true});
	state.members.set(report.daemonId, record);
	state.removed.delete(report.daemonId);
	if (!isChanged) {
		return [];
	}

	markChanged(state, record);
	return [...lost, {type: 'members-changed', version: state.version}];
};

/** Refreshes the daemons from which a registrar still receives heartbeats. */
export const refreshMembers = (
	state: MembershipState,
	{daemons}: Extract<MembershipEvent, {type: 'alive'}>,
	nowMs: number,
): MembershipAction[] => {
	const {version} = state;
	for (const {daemonId, incarnation} of daemons) {
		const record = state.members.get(daemonId);
		if (record?.report.incarnation === incarnation) {
			record.lastHeardMs = nowMs;
			if (!record.live) {
				record.live = true;
				markChanged(state, record);
			}
		}
	}

	return state.version === version
		? []
		: [{type: 'members-changed', version: state.version}];
};

/** Marks daemons as silent, and so as lost, when their registrar no longer receives their heartbeats. */
export const markMembersSilent = (
	state: MembershipState,
	{daemonIds}: Extract<MembershipEvent, {type: 'silent'}>,
	nowMs: number,
): MembershipAction[] => {
	const silentSinceMs = nowMs - state.settings.memberTimeoutMs;
	for (const daemonId of daemonIds) {
		const record = state.members.get(daemonId);
		if (record) {
			record.lastHeardMs = Math.min(record.lastHeardMs, silentSinceMs);
		}
	}

	return daemonIds.length > 0 ? expireMembers(state, nowMs) : [];
};

const removeMember = (state: MembershipState, daemonId: DaemonId): void => {
	state.members.delete(daemonId);
	state.version++;
	state.removed.set(daemonId, state.version);
	if (state.removed.size > MAX_RECENT_REMOVALS) {
		const [oldest] = state.removed;
		state.removed.delete(oldest![0]);
		state.oldestDeltaVersion = oldest![1];
	}
};

/** Marks silent daemons as lost and removes those that have been silent for `forgetAfterMs`. */
export const expireMembers = (
	state: MembershipState,
	nowMs: number,
): MembershipAction[] => {
	const actions: MembershipAction[] = [];
	const {version} = state;
	for (const [daemonId, record] of state.members) {
		const silentMs = nowMs - record.lastHeardMs;
		if (record.live && silentMs >= state.settings.memberTimeoutMs) {
			record.live = false;
			markChanged(state, record);
			const {incarnation} = record.report;
			actions.push({type: 'daemon-lost', daemonId, incarnation});
		}

		if (silentMs >= state.settings.forgetAfterMs) {
			removeMember(state, daemonId);
		}
	}

	return state.version === version
		? actions
		: [...actions, {type: 'members-changed', version: state.version}];
};
