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
	excludedIds: new Set(),
	random: () => 0,
};

const createTable = (servers: ListedServer[]) => {
	const table = new ServerTable();
	table.replace(servers);
	return table;
};

const choose = (table: ServerTable, changes: Partial<ServerChoice> = {}) =>
	chooseServer(table.candidates('models', 0), {...choice, ...changes})?.server
		.id;

/** The part of the session has grown from 4,000 to 4,800 tokens. */
const prompt = [
	{id: 'shared', tokens: 12_600, isCommon: true},
	{id: 'session', tokens: 4800},
];

const lastAt = (id: string) => ({
	serverId: asId<UpstreamId>(id),
	contextTokens: 16_600,
});

describe('chooseServer', () => {
	const servers = ['1', '2', '3'].map((id) => createServer(id));

	describe('requests with a prompt', () => {
		it('stay with the server of the last turn while it has no more requests than others', () => {
			expect(choose(createTable(servers), {prompt, last: lastAt('3')})).toBe(
				'3',
			);
		});

		it('leave it when the requests beside them cost more than reading the prompt again', () => {
			const table = createTable(servers);
			table.all()[2]!.inFlight = 3;
			expect(choose(table, {prompt, last: lastAt('3')})).not.toBe('3');
		});

		it('do not leave a loaded server for one where the reading holds up as many streams', () => {
			const table = createTable(servers);
			for (const load of table.all()) {
				load.inFlight = 8;
			}

			table.all()[2]!.inFlight = 11;
			expect(choose(table, {prompt, last: lastAt('3')})).toBe('3');
		});

		it('prefer a server that was sent what the program said', () => {
			const table = createTable(servers);
			table.all()[0]!.noteParts([{id: 'session', tokens: 500}]);
			table.all()[1]!.noteParts([{id: 'session', tokens: 4000}]);
			expect(choose(table, {prompt})).toBe('2');
		});

		it('count a part as missing when one before it is missing', () => {
			const own = prompt.map((part) => ({...part, isCommon: false}));
			const table = createTable(servers);
			table.all()[0]!.noteParts([{id: 'session', tokens: 4800}]);
			table.all()[1]!.noteParts([{id: 'shared', tokens: 12_600}]);
			expect(choose(table, {prompt: own})).toBe('2');
		});
	});

	it('counts the requests of other daemons', () => {
		const table = createTable(servers);
		table.noteOthers({1: 5, 2: 5, 3: 1});
		expect(choose(table)).toBe('3');
		table.noteOthers({1: 5});
		expect(choose(table)).toBe('2');
	});

	it('spreads a burst that no daemon has told about yet', () => {
		const table = createTable(servers);
		for (let request = 0; request < 30; request++) {
			const load = chooseServer(table.candidates('models', 0), {
				...choice,
				prompt,
				last: lastAt('1'),
			})!;
			load.inFlight++;
		}

		const loads = table.all().map(({inFlight}) => inFlight);
		expect(Math.max(...loads) - Math.min(...loads)).toBeLessThanOrEqual(6);
	});

	describe('plain requests', () => {
		it('stay in the zone while it has room, and leave it when it is busy', () => {
			const table = createTable([
				createServer('near'),
				createServer('far', {zone: 'b'}),
			]);
			expect(choose(table)).toBe('near');
			table.all()[0]!.inFlight = 12;
			expect(choose(table)).toBe('far');
		});

		it('are not sent to a server twice', () => {
			const excludedIds = new Set([asId<UpstreamId>('1')]);
			expect(
				choose(createTable([createServer('1')]), {excludedIds}),
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

	it('forgets load, faults and cache of a server that started again under its id', () => {
		const table = createTable([createServer('1', {bornAtMs: 1})]);
		const [before] = table.all();
		before!.isClosing = true;
		before!.noteParts([{id: 'shared', tokens: 9}]);
		table.replace([createServer('1', {bornAtMs: 2})]);
		expect(table.candidates('models', 0)).toHaveLength(1);
		expect(table.all()[0]!.keptTokens('shared')).toBe(0);
	});

	it('uses servers to avoid when there are no others', () => {
		const table = createTable([createServer('1'), createServer('2')]);
		table.candidates('models', 0)[0]!.avoidUntilMs = 500;
		expect(table.candidates('models', 0)).toHaveLength(1);
		table.candidates('models', 0)[0]!.avoidUntilMs = 500;
		expect(table.candidates('models', 0)).toHaveLength(2);
	});

	it('describes only busy servers, so that the message stays small', () => {
		const table = createTable([createServer('1'), createServer('2')]);
		table.all()[1]!.inFlight = 3;
		expect(table.describeInFlight()).toEqual({2: 3});
	});
});
