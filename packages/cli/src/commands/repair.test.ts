import {describe, expect, it} from 'vitest';
import {planRepairs} from './repair.ts';

const daemon = (daemonId: string, zone: string, roles: string[]) => ({
	daemonId,
	zone,
	roles,
	httpAddress: '127.0.0.1:1',
	phase: 'ready',
});

const group = {
	groupId: 'shard-0',
	replicas: [
		{daemonId: 'd1', role: 'voter'},
		{daemonId: 'd2', role: 'voter'},
		{daemonId: 'd3', role: 'voter'},
	],
};

describe('planRepairs', () => {
	it('prefers a spare in the zone that lost its replica', () => {
		const plan = planRepairs(
			[group],
			[
				daemon('d1', 'zone-a', ['state']),
				daemon('d2', 'zone-b', ['state']),
				daemon('d9', 'zone-a', ['state']),
				daemon('d10', 'zone-c', ['state']),
				daemon('d11', 'zone-c', ['entry']),
			],
		);
		expect(plan).toEqual([
			{groupId: 'shard-0', lostDaemonId: 'd3', newDaemonId: 'd10'},
		]);
	});

	it('lets a daemon that returns with another disk replace itself', () => {
		const [first, second, third] = group.replicas;
		const plan = planRepairs(
			[{...group, replicas: [first!, second!, {...third!, isLive: false}]}],
			['d1', 'd2', 'd3'].map((daemonId) =>
				daemon(daemonId, 'zone-a', ['state']),
			),
		);
		expect(plan).toEqual([
			{groupId: 'shard-0', lostDaemonId: 'd3', newDaemonId: 'd3'},
		]);
	});

	it('refuses when no spare disk is left', () => {
		expect(() =>
			planRepairs([group], [daemon('d1', 'zone-a', ['state'])]),
		).toThrow('No spare daemon');
	});
});
