import type {FleetMember} from '@marjoramcove/fleet';
import {asId, type DaemonId, type IncarnationId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {chooseEntryAddresses} from './choose-entry-addresses.ts';

const createEntry = (
	id: string,
	zone: string,
	changes: Partial<FleetMember> = {},
): FleetMember => ({
	daemonId: asId<DaemonId>(id),
	name: id,
	incarnation: asId<IncarnationId>('first'),
	sequence: 1,
	role: 'entry',
	zone,
	phase: 'ready',
	entryAddress: `${id}:80`,
	ledGroups: [],
	documentVersion: 1,
	...changes,
});

describe('chooseEntryAddresses', () => {
	const entries = [
		createEntry('a1', 'a'),
		createEntry('a2', 'a'),
		createEntry('b1', 'b'),
	];

	it('returns only addresses in the zone of the caller if it has two daemons', () => {
		expect(chooseEntryAddresses(entries, 'a')).toEqual(['a1:80', 'a2:80']);
	});

	it('returns all addresses if the zone has only one daemon or is not specified', () => {
		expect(chooseEntryAddresses(entries, 'b')).toHaveLength(3);
		expect(chooseEntryAddresses(entries, undefined)).toHaveLength(3);
	});

	it('omits daemons that are starting or draining', () => {
		const changing = [
			createEntry('a1', 'a', {phase: 'draining'}),
			createEntry('a2', 'a', {phase: 'starting'}),
			createEntry('b1', 'b'),
		];
		expect(chooseEntryAddresses(changing, 'a')).toEqual(['b1:80']);
	});
});
