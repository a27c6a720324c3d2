export {rankRegistrars} from './rank-registrars.ts';
export {rankByHash} from './hash.ts';
export * from './member-relay.ts';
export {
	type DaemonPhase,
	type Member,
	type MemberReport,
	toMember,
} from './members.ts';
export * from './queries.ts';
export * from './registrar-table.ts';
export * from './roster.ts';
export {
	createMembershipState,
	DEFAULT_MEMBERSHIP_SETTINGS,
	type MembershipAction,
	type MembershipEvent,
	type MembershipSettings,
	type MembershipState,
	type MembershipStep,
} from './state.ts';
export {stepMembership} from './step-membership.ts';
export {isUpstreamLeaving} from './step-upstreams.ts';
