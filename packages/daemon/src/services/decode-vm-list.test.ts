import {createMembershipState, stepMembership} from '@marjoramcove/membership';
import {asId, type UpstreamId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {decodeVmList} from './decode-vm-list.ts';

const leaving = {address: '10.0.0.9:80', state: 'leaving'};

describe('decodeVmList', () => {
	describe('entries of other writers', () => {
		const nested = JSON.parse(
			`${'['.repeat(100_000)}${']'.repeat(100_000)}`,
		) as unknown;

		it.each([
			['null', null],
			['a text', 'vm'],
			['an address that is no text', {address: 5, state: 'leaving'}],
			['no address', {state: 'leaving'}],
			['an unknown state', {address: '10.0.0.8:80', state: 'odd'}],
			['a nested entry', nested],
			['a nested field', {address: nested, state: 'leaving'}],
		])('are skipped without hiding that a VM leaves: %s', (_name, entry) => {
			// Guards against one odd entry that stops the list from being followed.
			const {vms, skippedEntries} = decodeVmList({vms: [entry, leaving]});
			expect({vms, skippedEntries}).toEqual({
				vms: [leaving],
				skippedEntries: 1,
			});
			const upstreamId = asId<UpstreamId>('engine-1');
			let state = createMembershipState({epoch: 'e', nowMs: 0});
			({state} = stepMembership(
				state,
				{
					type: 'upstreams',
					upstreams: [
						{upstreamId, address: 'http://10.0.0.9:80', leaving: false},
					],
				},
				0,
			));
			const {actions} = stepMembership(
				state,
				{type: 'vm-list', readAtMs: 1, vms},
				1,
			);
			expect(actions).toContainEqual({type: 'upstream-leaving', upstreamId});
		});
	});

	it.each([[null], [[]], [{}], [{vms: {}}]])(
		'rejects what is no list: %j',
		(list) => {
			expect(() => decodeVmList(list)).toThrow();
		},
	);
});
