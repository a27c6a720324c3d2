export {
	applyMemberChanges,
	digestMembers,
	type MemberChanges,
	MemberHistory,
	type MemberList,
} from './member-history.ts';
export type {
	FleetMember,
	FleetRole,
	GroupLeadership,
	MemberCapacity,
	MemberPhase,
} from './member.ts';
export {
	createMembershipTable,
	listMembers,
	type MembershipTable,
	type ReceivedReport,
	recordReport,
	removeExpiredMembers,
} from './membership-table.ts';
export {
	type KnownControlDaemons,
	type ParentChange,
	ParentSelector,
	type ParentSelectorOptions,
} from './parent-selector.ts';
export {compareStamps, isNewer, type Stamp} from './stamp.ts';
