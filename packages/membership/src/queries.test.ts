import {
	asId,
	type DaemonId,
	type IncarnationId,
	type UpstreamId,
	type ZoneName,
} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {chooseAddresses, chooseDispatcher, type Member} from './index.ts';

const daemons = Array.from({length: 8}, (_, index) =>
	asId<DaemonId>(`d${index + 1}`),
);

const createMember = (
	daemonId: DaemonId,
	zone: string,
	phase: Member['phase'],
): Member => ({
	daemonId,
	incarnation: asId<IncarnationId>('i1'),
	zone: asId<ZoneName>(zone),
	address: `127.0.0.1:${daemonId}`,
	phase,
});

describe('chooseDispatcher', () => {
	it('reassigns only the engines of a daemon that leaves (failure: a restart moves all queues)', () => {
		for (let engine = 0; engine < 200; engine++) {
			const upstreamId = asId<UpstreamId>(`engine-${engine}`);
			const before = chooseDispatcher(upstreamId, daemons);
			const after = chooseDispatcher(upstreamId, daemons.slice(1));
			expect(before === daemons[0] || after === before).toBe(true);
		}
	});
});

describe('chooseAddresses', () => {
	it('lists only ready daemons, the zone of the caller first (failure: callers connect to a draining daemon)', () => {
		const members = [
			createMember(daemons[0]!, 'zone-a', 'draining'),
			createMember(daemons[1]!, 'zone-b', 'ready'),
			createMember(daemons[2]!, 'zone-a', 'ready'),
			createMember(daemons[3]!, 'zone-c', 'starting'),
		];
		expect(
			chooseAddresses(members, {
				callerKey: 'hall-1',
				zone: asId<ZoneName>('zone-a'),
			}),
		).toEqual({
			addresses: [
				{address: '127.0.0.1:d3', zone: 'zone-a'},
				{address: '127.0.0.1:d2', zone: 'zone-b'},
			],
			ttlMs: 10_000,
		});
	});
});
