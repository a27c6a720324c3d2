import type {ListedServer} from '@marjoramcove/inventory';
import {asId, type UpstreamId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {chooseServer, type SelectionContext} from './choose-server.ts';
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

const context: SelectionContext = {
	zone: 'a',
	excludedIds: new Set(),
	nowMs: 0,
	random: () => 0.5,
};

const createTable = (servers: ListedServer[]) => {
	const table = new ServerTable();
	table.replace(servers, 0);
	return table;
};

const choose = (table: ServerTable, changes: Partial<SelectionContext> = {}) =>
	chooseServer(table.candidates('models', 0), {...context, ...changes})?.server
		.id;

/** The session part has grown from 4,000 to 4,800 tokens since the last turn. */
const prompt = [
	{id: 'shared', tokens: 12_600},
	{id: 'session', tokens: 4800},
];

const lastTurnOn = (id: string) => ({
	serverId: asId<UpstreamId>(id),
	contextTokens: 16_600,
});

/** Every server caches the shared part. */
const createWarmTable = (servers: ListedServer[]) => {
	const table = createTable(servers);
	for (const {prefixCache} of table.all()) {
		prefixCache.record({id: 'shared', tokens: 12_600}, 0);
	}

	return table;
};

describe('chooseServer', () => {
	const servers = ['1', '2', '3'].map((id) => createServer(id));

	describe('requests with a prompt', () => {
		it('stay on the server of the last turn while it has no more requests than other servers', () => {
			expect(
				choose(createWarmTable(servers), {prompt, last: lastTurnOn('3')}),
			).toBe('3');
		});

		it('leave that server when its concurrent requests cost more than the prefill of the session', () => {
			const table = createWarmTable(servers);
			table.all()[2]!.inFlight = 14;
			expect(choose(table, {prompt, last: lastTurnOn('3')})).not.toBe('3');
		});

		it('stay on a loaded server when the prefill would delay as many streams on another server', () => {
			const table = createWarmTable(servers);
			for (const load of table.all()) {
				load.inFlight = 8;
			}

			table.all()[2]!.inFlight = 11;
			expect(choose(table, {prompt, last: lastTurnOn('3')})).toBe('3');
		});

		it('prefer the server with the longest cached prefix of the program', () => {
			const table = createWarmTable(servers);
			table.all()[0]!.prefixCache.record({id: 'session', tokens: 500}, 0);
			table.all()[1]!.prefixCache.record({id: 'session', tokens: 4000}, 0);
			expect(choose(table, {prompt})).toBe('2');
		});

		it('treat a part as uncached when a part before it is uncached', () => {
			const table = createTable(servers);
			table.all()[0]!.prefixCache.record({id: 'session', tokens: 4800}, 0);
			table.all()[1]!.prefixCache.record({id: 'shared', tokens: 12_600}, 0);
			expect(choose(table, {prompt})).toBe('2');
		});

		it('go to a server that caches the shared part according to other daemons', () => {
			const table = createTable(servers);
			const serverId = asId<UpstreamId>('2');
			table.recordSharedParts([{serverId, id: 'shared', tokens: 12_600}], 0);
			expect(choose(table, {prompt})).toBe('2');
		});

		it('do not rely on a shared part that has not been used recently', () => {
			const chosen = ['a', 'b', 'c', 'd', 'e'].map((id) => {
				const table = createTable(servers);
				const parts = [{id, tokens: 12_600}];
				table.all()[1]!.prefixCache.record(parts[0]!, 0);
				return choose(table, {prompt: parts, nowMs: 60_000});
			});
			expect(new Set(chosen).size).toBeGreaterThan(1);
		});

		it('are sent to the same server for a new shared part, whichever daemon chooses', () => {
			const reversed = servers.toReversed();
			for (const id of ['a', 'b', 'c', 'd']) {
				const parts = [{id, tokens: 12_600}];
				expect(choose(createTable(servers), {prompt: parts})).toBe(
					choose(createTable(reversed), {prompt: parts}),
				);
			}
		});
	});

	it('takes the requests of other daemons into account', () => {
		const table = createTable(servers);
		table.setOthersInFlight({1: 5, 2: 5, 3: 1});
		expect(choose(table)).toBe('3');
		table.setOthersInFlight({1: 5});
		expect(choose(table)).toBe('2');
	});

	it('spreads a burst that no daemon has reported yet over the servers that cache its shared part', () => {
		const table = createWarmTable(servers);
		for (let request = 0; request < 30; request++) {
			const load = chooseServer(table.candidates('models', 0), {
				...context,
				prompt: [prompt[0]!, {id: `session-${request}`, tokens: 1000}],
			})!;
			load.inFlight++;
		}

		const loads = table.all().map(({inFlight}) => inFlight);
		expect(Math.max(...loads) - Math.min(...loads)).toBeLessThanOrEqual(6);
	});

	describe('plain requests', () => {
		it('stay in the zone while it has free capacity, and leave it when it is busy', () => {
			const table = createTable([
				createServer('near'),
				createServer('far', {zone: 'b'}),
			]);
			expect(choose(table)).toBe('near');
			table.all()[0]!.inFlight = 12;
			expect(choose(table)).toBe('far');
		});

		it('are not sent to the same server twice', () => {
			const excludedIds = new Set([asId<UpstreamId>('1')]);
			expect(
				choose(createTable([createServer('1')]), {excludedIds}),
			).toBeUndefined();
		});
	});
});

describe('ServerTable', () => {
	describe('servers that are leaving', () => {
		const USE_MS = 900;

		const createLeavingTable = (servers: ListedServer[]) => {
			const table = new ServerTable({leavingUseMs: USE_MS});
			table.replace(servers, 0);
			return table;
		};

		const idsOf = (table: ServerTable, nowMs: number) =>
			table.candidates('models', nowMs).map(({server}) => String(server.id));

		it('are excluded at once while others stay, whether the list or they themselves say so', () => {
			const table = createLeavingTable([
				createServer('1', {isLeaving: true}),
				createServer('2'),
				createServer('3'),
			]);
			table.all()[1]!.leaving.recordAnswer(0);
			expect(idsOf(table, 0)).toEqual(['3']);
		});

		it('are used for a short time when all are leaving, and then not at all', () => {
			// Guards against a service that refuses requests while its servers still serve, and the reverse.
			const table = createLeavingTable([
				createServer('1', {isLeaving: true}),
				createServer('2'),
			]);
			table.all()[1]!.leaving.recordAnswer(500);
			expect(idsOf(table, 500)).toEqual(['1', '2']);
			expect(idsOf(table, USE_MS)).toEqual(['2']);
			expect(idsOf(table, 500 + USE_MS)).toEqual([]);
			expect(table.nextPermitAtMs('models', new Set(), 500 + USE_MS)).toBe(
				undefined,
			);
		});

		it('stay excluded when an older list shows them as ready', () => {
			// Guards against a late view that brings a server back that said it leaves.
			const table = createLeavingTable([createServer('1'), createServer('2')]);
			table.all()[0]!.leaving.recordAnswer(0);
			table.replace([createServer('1'), createServer('2')], 10);
			expect(idsOf(table, 10)).toEqual(['2']);
			table.all()[1]!.leaving.recordAnswer(20);
			expect(idsOf(table, 20 + USE_MS)).toEqual([]);
		});

		it.each([
			['the same id, started again', createServer('1', {bornAtMs: 2})],
			[
				'the same id at another address',
				createServer('1', {address: '10.0.0.9:1'}),
			],
			['another id at the same address', createServer('4')],
		])(
			'do not affect the instance that takes their place: %s',
			(_name, next) => {
				const table = createLeavingTable([createServer('1', {bornAtMs: 1})]);
				table.all()[0]!.leaving.recordAnswer(0);
				table.replace([next], 10);
				expect(table.candidates('models', 10 + USE_MS)).toHaveLength(1);
			},
		);

		it('are used while only another daemon reports it and no other server is left', () => {
			// Guards against a daemon with wrong reports that takes all servers of a service out of use.
			const table = createLeavingTable([createServer('1'), createServer('2')]);
			const [first, second] = table.all();
			table.recordReportedLeaving({[first!.key]: 20}, 100);
			expect(idsOf(table, 100)).toEqual(['2']);
			table.recordReportedLeaving({[second!.key]: 20}, 100);
			expect(idsOf(table, 60_000)).toEqual(['1', '2']);
		});

		it('are tried when all others have refused the request', () => {
			const table = createLeavingTable([
				createServer('1', {isLeaving: true}),
				createServer('2'),
			]);
			const excludedIds = new Set([asId<UpstreamId>('2')]);
			const ids = table
				.candidates('models', 0, excludedIds)
				.map(({server}) => String(server.id));
			expect(ids).toEqual(['1']);
		});
	});

	it('resets the load, health and cache of a server that restarted under the same id', () => {
		const table = createTable([createServer('1', {bornAtMs: 1})]);
		const [before] = table.all();
		before!.leaving.recordAnswer(0);
		before!.prefixCache.record({id: 'shared', tokens: 9}, 0);
		table.replace([createServer('1', {bornAtMs: 2})], 0);
		expect(table.candidates('models', 0)).toHaveLength(1);
		expect(table.all()[0]!.prefixCache.cachedTokens('shared', 0)).toBe(0);
	});

	it('returns servers to avoid when the request has been sent to all others', () => {
		// Guards against a request that is refused although a server that it has not reached may take it.
		const table = createTable([createServer('1'), createServer('2')]);
		table.all()[0]!.avoidUntilMs = 500;
		const excludedIds = new Set([asId<UpstreamId>('2')]);
		const ids = table
			.candidates('models', 0, excludedIds)
			.map(({server}) => String(server.id));
		expect(ids).toEqual(['1']);
	});

	it('returns servers to avoid when there are no others', () => {
		const table = createTable([createServer('1'), createServer('2')]);
		table.candidates('models', 0)[0]!.avoidUntilMs = 500;
		expect(table.candidates('models', 0)).toHaveLength(1);
		table.candidates('models', 0)[0]!.avoidUntilMs = 500;
		expect(table.candidates('models', 0)).toHaveLength(2);
	});

	it('counts only busy servers, so that the message stays small', () => {
		const table = createTable([createServer('1'), createServer('2')]);
		table.all()[1]!.inFlight = 3;
		expect(table.countInFlight()).toEqual({2: 3});
	});

	it('prefers a server with an idle connection unless it is busier', () => {
		// Guards against a handshake for nearly every request of a daemon that has many servers.
		const table = createTable(['1', '2', '3'].map((id) => createServer(id)));
		const isConnected = ({server}: {server: ListedServer}) => server.id === '2';
		expect(choose(table, {isConnected})).toBe('2');
		const connected = table.all().find(({server}) => server.id === '2')!;
		connected.othersInFlight = 3;
		expect(choose(table, {isConnected})).not.toBe('2');
	});
});
