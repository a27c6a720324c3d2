import {asId, type DaemonId, type IncarnationId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {chooseParent, type ChooseParentInput} from './choose-parent.ts';
import type {FleetMember} from './member.ts';
import {
	createMembershipTable,
	listMembers,
	recordReport,
	removeExpiredMembers,
} from './membership-table.ts';
import {isNewer} from './stamp.ts';

const daemonId = (text: string) => asId<DaemonId>(text);

const createMember = (
	id: string,
	changes: Partial<FleetMember> = {},
): FleetMember => ({
	daemonId: daemonId(id),
	name: id,
	incarnation: asId<IncarnationId>('first'),
	sequence: 1,
	role: 'control',
	zone: 'a',
	phase: 'ready',
	ledGroups: [],
	documentVersion: 0,
	...changes,
});

describe('MembershipTable', () => {
	it('does not let a delayed report overwrite a newer one', () => {
		const table = createMembershipTable();
		const draining = createMember('e', {sequence: 5, phase: 'draining'});
		recordReport(table, {report: draining, receivedAtMs: 100});
		recordReport(table, {report: createMember('e'), receivedAtMs: 120});
		expect(listMembers(table)[0]!.phase).toBe('draining');
	});

	it('accepts the report of a new incarnation, whose sequence restarts', () => {
		const table = createMembershipTable();
		recordReport(table, {
			report: createMember('e', {sequence: 50}),
			receivedAtMs: 100,
		});
		const restarted = createMember('e', {
			incarnation: asId<IncarnationId>('second'),
		});
		expect(recordReport(table, {report: restarted, receivedAtMs: 200})).toBe(
			true,
		);
	});

	it('increments its version only for changes that are published', () => {
		const table = createMembershipTable();
		recordReport(table, {report: createMember('e'), receivedAtMs: 1});
		const {version} = table;
		const next = createMember('e', {sequence: 2, documentVersion: 9});
		expect(recordReport(table, {report: next, receivedAtMs: 2})).toBe(false);
		expect(table.version).toBe(version);
	});

	it('removes a daemon that stopped reporting, and only once', () => {
		const table = createMembershipTable();
		recordReport(table, {report: createMember('e'), receivedAtMs: 0});
		expect(removeExpiredMembers(table, 2000, 2000)).toHaveLength(0);
		expect(removeExpiredMembers(table, 2001, 2000)).toHaveLength(1);
		expect(removeExpiredMembers(table, 9000, 2000)).toHaveLength(0);
	});
});

describe('chooseParent', () => {
	const input: ChooseParentInput = {
		selfId: daemonId('self'),
		zone: 'b',
		role: 'entry',
		seeds: [daemonId('s1'), daemonId('s2')],
		members: [],
		leaderId: undefined,
		failedUntilMs: new Map(),
		nowMs: 1000,
		random: () => 0,
	};

	it('chooses a seed if no members are known', () => {
		expect(chooseParent(input)).toBe('s1');
	});

	it('prefers a control daemon in its own zone', () => {
		const members = [createMember('c1'), createMember('c2', {zone: 'b'})];
		expect(chooseParent({...input, members})).toBe('c2');
	});

	it('chooses a known control daemon when all seeds failed', () => {
		const failedUntilMs = new Map(input.seeds.map((id) => [id, 5000]));
		const members = [createMember('c9')];
		expect(chooseParent({...input, members, failedUntilMs})).toBe('c9');
	});

	it('returns a candidate even if all of them failed recently', () => {
		const failedUntilMs = new Map(input.seeds.map((id) => [id, 5000]));
		expect(chooseParent({...input, failedUntilMs})).toBeDefined();
	});

	it('returns the leader to a control daemon even if it was unreachable before its election', () => {
		const failedUntilMs = new Map([[daemonId('s2'), 5000]]);
		const control = {...input, role: 'control' as const, failedUntilMs};
		expect(chooseParent({...control, leaderId: daemonId('s2')})).toBe('s2');
	});

	it('returns the leader to a control daemon and never the daemon itself', () => {
		const control = {...input, role: 'control' as const};
		expect(chooseParent({...control, leaderId: daemonId('s2')})).toBe('s2');
		const alone = {...control, seeds: [control.selfId]};
		expect(chooseParent(alone)).toBeUndefined();
	});
});

describe('isNewer', () => {
	it('compares the term before the sequence', () => {
		const known = {term: 2, sequence: 9};
		expect(isNewer({term: 3, sequence: 0}, known)).toBe(true);
		expect(isNewer({term: 1, sequence: 99}, known)).toBe(false);
	});
});
