import {assertInvariant} from '@marjoramcove/errors';
import type {
	MembershipAction,
	MembershipEvent,
	MembershipState,
	MembershipStep,
} from './state.ts';
import {
	expireMembers,
	keepMembers,
	loseMembers,
	takeHeartbeat,
} from './step-members.ts';
import {takeHealth, takeUpstreams, takeVmList} from './step-upstreams.ts';

const applyEvent = (
	state: MembershipState,
	event: MembershipEvent,
	nowMs: number,
): MembershipAction[] => {
	switch (event.type) {
		case 'heartbeat': {
			return takeHeartbeat(state, event, nowMs);
		}

		case 'tick': {
			return expireMembers(state, nowMs);
		}

		case 'alive': {
			return keepMembers(state, event, nowMs);
		}

		case 'silent': {
			return loseMembers(state, event, nowMs);
		}

		case 'upstreams': {
			return takeUpstreams(state, event, nowMs);
		}

		case 'vm-list': {
			return takeVmList(state, event, nowMs);
		}

		case 'health': {
			return takeHealth(state, event, nowMs);
		}
	}
};

/**
 * Applies one event to the membership.
 *
 * @param nowMs - monotonic clock of the process; an earlier time than before counts as the same.
 * @throws InvariantViolationError when a version would go back.
 * @example
 * ```ts
 * const {state, actions} = stepMembership(previous, {type: 'tick'}, nowMs);
 * ```
 */
export const stepMembership = (
	state: MembershipState,
	event: MembershipEvent,
	nowMs: number,
): MembershipStep => {
	const {version, vmListReadAtMs} = state;
	state.clockMs = Math.max(state.clockMs, nowMs);
	const actions = applyEvent(state, event, state.clockMs);
	assertInvariant(
		state.version >= version && state.vmListReadAtMs >= vmListReadAtMs,
		'membership-never-goes-back',
		event,
	);
	for (const record of state.members.values()) {
		assertInvariant(
			record.changedAt <= state.version &&
				!record.pastIncarnations.includes(record.report.incarnation),
			'member-record-valid',
			event,
		);
	}

	return {state, actions};
};
