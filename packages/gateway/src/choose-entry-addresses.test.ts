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

const random = () => 0.5;

describe('chooseEntryAddresses', () => {
	const entries = [
		createEntry('a1', 'a'),
		createEntry('a2', 'a'),
		createEntry('b1', 'b'),
	];

	it('returns only addresses in the zone of the caller if it has two daemons', () => {
		expect(chooseEntryAddresses(entries, 'a', random)).toEqual([
			'a1:80',
			'a2:80',
		]);
	});

	it('returns all addresses if the zone has only one daemon or is not specified', () => {
		expect(chooseEntryAddresses(entries, 'b', random)).toHaveLength(3);
		expect(chooseEntryAddresses(entries, undefined, random)).toHaveLength(3);
	});

	it('omits daemons that are starting or draining', () => {
		const changing = [
			createEntry('a1', 'a', {phase: 'draining'}),
			createEntry('a2', 'a', {phase: 'starting'}),
			createEntry('b1', 'b'),
		];
		expect(chooseEntryAddresses(changing, 'a', random)).toEqual(['b1:80']);
	});

	it('spreads callers over more daemons than a response holds', () => {
		// Guards against a large zone in which only the first 64 daemons ever get a caller.
		const many = Array.from({length: 171}, (_, index) =>
			createEntry(`a${index}`, 'a'),
		);
		const counts = new Map<string, number>();
		for (let look = 0; look < 500; look++) {
			const addresses = chooseEntryAddresses(many, 'a', Math.random);
			expect(new Set(addresses).size).toBe(64);
			for (const address of addresses) {
				counts.set(address, (counts.get(address) ?? 0) + 1);
			}
		}

		expect(counts.size).toBe(171);
		expect(Math.max(...counts.values())).toBeLessThan((2 * 500 * 64) / 171);
	});
});
