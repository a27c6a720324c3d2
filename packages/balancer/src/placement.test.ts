import {asId, type UpstreamId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {Placement, type PlacementRequest} from './placement.ts';

const serverId = asId<UpstreamId>('s1');

const createPlacement = (count = 1) => {
	const placement = new Placement({zone: 'a', random: () => 0.5});
	placement.replaceServers(
		Array.from({length: count}, (_, index) => ({
			id: asId<UpstreamId>(`s${index + 1}`),
			service: 'models',
			address: '10.0.0.1:80',
			zone: 'a',
			slots: 8,
			isLeaving: false,
		})),
		0,
	);
	return placement;
};

const createRequest = (programId: string): PlacementRequest => ({
	service: 'models',
	programId,
	prompt: [
		{id: 'system', tokens: 9000},
		{id: `own-${programId}`, tokens: 100},
	],
	excludedIds: new Set(),
});

describe('Placement', () => {
	const send = (placement: Placement, programId: string, nowMs: number) => {
		const request = createRequest(programId);
		const load = placement.choose(request, nowMs)!;
		placement.recordSent(load, request, nowMs);
		return load;
	};

	it('counts a request until it has ended', () => {
		const placement = createPlacement();
		const load = send(placement, 'p1', 0);
		expect(placement.takeUpdate(0).inFlight).toEqual({s1: 1});
		placement.recordEnd(load);
		expect(placement.takeUpdate(0).inFlight).toEqual({});
	});

	describe('updates', () => {
		it('announce parts that several programs share, once, and no others', () => {
			const placement = createPlacement();
			send(placement, 'p1', 0);
			expect(placement.takeUpdate(0).shared).toEqual([]);
			send(placement, 'p2', 5000);
			expect(placement.takeUpdate(0).shared).toEqual([
				{serverId, id: 'system', tokens: 9000},
			]);
			send(placement, 'p3', 5100);
			expect(placement.takeUpdate(0).shared).toEqual([]);
		});

		it('repeat an announcement before other daemons discard it, unless another daemon has just made it', () => {
			const placement = createPlacement();
			send(placement, 'p1', 0);
			send(placement, 'p2', 2000);
			placement.takeUpdate(0);
			send(placement, 'p3', 4000);
			expect(placement.takeUpdate(0).shared).toHaveLength(1);
			const shared = [{serverId, id: 'system', tokens: 9000}];
			placement.applyUpdate({inFlight: {}, shared}, 5900);
			send(placement, 'p4', 6000);
			expect(placement.takeUpdate(0).shared).toEqual([]);
		});

		it('direct requests of other programs to the server that caches their shared part', () => {
			for (let index = 1; index <= 4; index++) {
				const placement = createPlacement(4);
				const id = asId<UpstreamId>(`s${index}`);
				const shared = [{serverId: id, id: 'system', tokens: 9000}];
				placement.applyUpdate({inFlight: {}, shared}, 0);
				expect(placement.choose(createRequest('p9'), 10)?.server.id).toBe(id);
			}
		});
	});
});
