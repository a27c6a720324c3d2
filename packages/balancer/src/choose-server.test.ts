import type {ListedServer} from '@marjoramcove/inventory';
import {asId, type UpstreamId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {chooseServer, type ServerChoice} from './choose-server.ts';
import {ServerTable} from './server-table.ts';

const createServer = (
	id: string,
	changes: Partial<ListedServer> = {},
): ListedServer => ({
	id: asId<UpstreamId>(id),
	service: 'models',
	address: `10.0.0.1:${id}`,
	zone: 'a',
	slots: 12,
	isLeaving: false,
	...changes,
});

const choice: ServerChoice = {
	zone: 'a',
	entryCount: 3,
	excludedIds: new Set(),
	random: () => 0,
};

const createTable = (servers: ListedServer[]) => {
	const table = new ServerTable();
	table.replace(servers);
	return table;
};

describe('chooseServer', () => {
	describe('requests with a prompt', () => {
		const servers = ['1', '2', '3', '4'].map((id) => createServer(id));

		it('go to the same server from every daemon, in any order of the list', () => {
			for (const affinityKey of ['p1', 'p2', 'p3']) {
				const chosen = [servers, servers.toReversed()].map(
					(list) =>
						chooseServer(createTable(list).candidates('models', 0), {
							...choice,
							affinityKey,
						})?.server.id,
				);
				expect(chosen[0]).toBe(chosen[1]);
			}
		});

		it('spread over the servers', () => {
			const table = createTable(servers);
			const counts = new Map<string, number>();
			for (let program = 0; program < 400; program++) {
				const {server} = chooseServer(table.candidates('models', 0), {
					...choice,
					affinityKey: `program-${program}`,
				})!;
				counts.set(server.id, (counts.get(server.id) ?? 0) + 1);
			}

			expect(counts.size).toBe(4);
			expect(Math.max(...counts.values())).toBeLessThan(200);
		});

		it('leave a server that has its share of requests of this daemon', () => {
			const table = createTable(servers);
			const keyed = {...choice, affinityKey: 'p1'};
			const first = chooseServer(table.candidates('models', 0), keyed)!;
			first.inFlight = 4;
			const second = chooseServer(table.candidates('models', 0), keyed)!;
			expect(second.server.id).not.toBe(first.server.id);
		});
	});

	describe('plain requests', () => {
		it('stay in the zone while it has room, and leave it when it is busy', () => {
			const table = createTable([
				createServer('near'),
				createServer('far', {zone: 'b'}),
			]);
			const [near] = table.candidates('models', 0);
			expect(chooseServer(table.candidates('models', 0), choice)).toBe(near);
			near!.inFlight = 4;
			expect(
				chooseServer(table.candidates('models', 0), choice)?.server.id,
			).toBe('far');
		});

		it('are not sent to a server twice', () => {
			const table = createTable([createServer('1')]);
			const excludedIds = new Set([asId<UpstreamId>('1')]);
			expect(
				chooseServer(table.candidates('models', 0), {...choice, excludedIds}),
			).toBeUndefined();
		});
	});
});

describe('ServerTable', () => {
	it('offers no server that is leaving, by the list or by its own word', () => {
		const table = createTable([
			createServer('1', {isLeaving: true}),
			createServer('2'),
		]);
		table.candidates('models', 0)[0]!.isClosing = true;
		expect(table.candidates('models', 0)).toEqual([]);
	});

	it('forgets load and faults of a server that started again under its id', () => {
		const table = createTable([createServer('1', {bornAtMs: 1})]);
		table.candidates('models', 0)[0]!.isClosing = true;
		table.replace([createServer('1', {bornAtMs: 2})]);
		expect(table.candidates('models', 0)).toHaveLength(1);
	});

	it('uses servers to avoid when there are no others', () => {
		const table = createTable([createServer('1'), createServer('2')]);
		table.candidates('models', 0)[0]!.avoidUntilMs = 500;
		expect(table.candidates('models', 0)).toHaveLength(1);
		table.candidates('models', 0)[0]!.avoidUntilMs = 500;
		expect(table.candidates('models', 0)).toHaveLength(2);
	});
});
