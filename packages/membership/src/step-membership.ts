import {assertInvariant} from '@marjoramcove/errors';
import type {
	MembershipAction,
	MembershipEvent,
	MembershipState,
	MembershipStep,
} from './state.ts';
import {
	expireMembers,
	handleHeartbeat,
	markMembersSilent,
	refreshMembers,
} from './step-members.ts';
import {handleHealth, handleUpstreams, handleVmList} from './step-upstreams.ts';

const applyEvent = (
	state: MembershipState,
	event: MembershipEvent,
	nowMs: number,
): MembershipAction[] => {
	switch (event.type) {
		case 'heartbeat': {
			return handleHeartbeat(state, event, nowMs);
		}

		case 'tick': {
			return expireMembers(state, nowMs);
		}

		case 'alive': {
			return refreshMembers(state, event, nowMs);
		}

		case 'silent': {
			return markMembersSilent(state, event, nowMs);
		}

		case 'upstreams': {
			return handleUpstreams(state, event, nowMs);
		}

		case 'vm-list': {
			return handleVmList(state, event, nowMs);
		}

		case 'health': {
			return handleHealth(state, event, nowMs);
		}
	}
};

/**
 * Applies one event to the membership.
 *
 * @param nowMs - monotonic clock of the process; an earlier time than before counts as the latest time.
 * @throws InvariantViolationError when a version would decrease.
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
