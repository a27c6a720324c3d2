import {asId, type DaemonId, type IncarnationId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {chooseParent, type ParentChoice} from './choose-parent.ts';
import type {FleetMember} from './member.ts';
import {
	createRoster,
	describeMembers,
	expireMembers,
	noteReport,
} from './roster.ts';
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

describe('roster', () => {
	it('does not let a delayed report undo a newer one', () => {
		const roster = createRoster();
		const draining = createMember('e', {sequence: 5, phase: 'draining'});
		noteReport(roster, {report: draining, heardAtMs: 100});
		noteReport(roster, {report: createMember('e'), heardAtMs: 120});
		expect(describeMembers(roster)[0]!.phase).toBe('draining');
	});

	it('takes the report of a new incarnation, whose count starts anew', () => {
		const roster = createRoster();
		noteReport(roster, {
			report: createMember('e', {sequence: 50}),
			heardAtMs: 100,
		});
		const restarted = createMember('e', {
			incarnation: asId<IncarnationId>('second'),
		});
		expect(noteReport(roster, {report: restarted, heardAtMs: 200})).toBe(true);
	});

	it('changes its version only when others need to know', () => {
		const roster = createRoster();
		noteReport(roster, {report: createMember('e'), heardAtMs: 1});
		const {version} = roster;
		const next = createMember('e', {sequence: 2, documentVersion: 9});
		expect(noteReport(roster, {report: next, heardAtMs: 2})).toBe(false);
		expect(roster.version).toBe(version);
	});

	it('removes a silent daemon once', () => {
		const roster = createRoster();
		noteReport(roster, {report: createMember('e'), heardAtMs: 0});
		expect(expireMembers(roster, 2000, 2000)).toHaveLength(0);
		expect(expireMembers(roster, 2001, 2000)).toHaveLength(1);
		expect(expireMembers(roster, 9000, 2000)).toHaveLength(0);
	});
});

describe('chooseParent', () => {
	const choice: ParentChoice = {
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

	it('starts with the seeds', () => {
		expect(chooseParent(choice)).toBe('s1');
	});

	it('prefers a control daemon of its zone', () => {
		const members = [createMember('c1'), createMember('c2', {zone: 'b'})];
		expect(chooseParent({...choice, members})).toBe('c2');
	});

	it('finds another daemon when all seeds are gone', () => {
		const failedUntilMs = new Map(choice.seeds.map((id) => [id, 5000]));
		const members = [createMember('c9')];
		expect(chooseParent({...choice, members, failedUntilMs})).toBe('c9');
	});

	it('goes on trying when everything failed lately', () => {
		const failedUntilMs = new Map(choice.seeds.map((id) => [id, 5000]));
		expect(chooseParent({...choice, failedUntilMs})).toBeDefined();
	});

	it('lets a control daemon report to a leader that was unreachable before its election', () => {
		const failedUntilMs = new Map([[daemonId('s2'), 5000]]);
		const control = {...choice, role: 'control' as const, failedUntilMs};
		expect(chooseParent({...control, leaderId: daemonId('s2')})).toBe('s2');
	});

	it('lets control daemons report to the leader and never to themselves', () => {
		const control = {...choice, role: 'control' as const};
		expect(chooseParent({...control, leaderId: daemonId('s2')})).toBe('s2');
		const alone = {...control, seeds: [control.selfId]};
		expect(chooseParent(alone)).toBeUndefined();
	});
});

describe('isNewer', () => {
	it('puts the term before the count', () => {
		const known = {term: 2, sequence: 9};
		expect(isNewer({term: 3, sequence: 0}, known)).toBe(true);
		expect(isNewer({term: 1, sequence: 99}, known)).toBe(false);
	});
});
