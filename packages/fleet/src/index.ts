export {chooseParent, type ParentChoice} from './choose-parent.ts';
export type {FleetMember, FleetRole, LedGroup, MemberPhase} from './member.ts';
export {
	createRoster,
	describeMembers,
	expireMembers,
	type HeardReport,
	noteReport,
	type Roster,
} from './roster.ts';
export {compareStamps, isNewer, type Stamp} from './stamp.ts';
