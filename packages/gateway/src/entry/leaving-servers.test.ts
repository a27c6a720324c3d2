import {setTimeout as sleep} from 'node:timers/promises';
import type {Socket} from 'node:net';
import type {ListedServer} from '@marjoramcove/inventory';
import type {RequestKind} from '@marjoramcove/routes';
import {afterEach, describe, expect, it} from 'vitest';
import {DEFAULT_GATEWAY_TIMING} from '../gateway-settings.ts';
import {
	EntryFixture,
	forwardUnsettledStream,
	RawServer,
	requestIdOf,
} from './entry.fixture.ts';
import {forwardPlain} from './forward-plain.ts';

const USE_MS = DEFAULT_GATEWAY_TIMING.leavingServerUseMs;

const EVENT = 'id: 1\ndata: x\n\n';

/** A server that answers after a pause and may announce that it is leaving. */
class LeavingServer extends RawServer {
	/** Headers of its answers besides those that every server sends. */
	extraHead = '';
	pauseMs = 0;
	isFull = false;

	constructor() {
		super(async (socket: Socket, _index, head) => {
			const requestId = requestIdOf(head);
			await sleep(this.pauseMs);
			const start = this.isFull
				? 'HTTP/1.1 503 Full\r\nX-Not-Run: 1'
				: 'HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Type: text/event-stream';
			const body = this.isFull ? '' : EVENT;
			socket.write(
				`${start}\r\nX-Request: ${requestId}\r\n${this.extraHead}Content-Length: ${body.length}\r\n\r\n${body}`,
			);
		});
	}
}

const LEAVING = 'X-Leaving: 1\r\n';

describe('servers that announce that they are leaving', () => {
	const servers: LeavingServer[] = [];
	let listed: ListedServer[] = [];
	let fixture: EntryFixture;

	afterEach(async () => {
		await fixture.stop();
		await Promise.all(servers.map(async (server) => server.stop()));
		servers.length = 0;
	});

	/** Starts an entry daemon that prefers the first of some servers. */
	const start = async (kind: RequestKind, count = 2) => {
		servers.push(...Array.from({length: count}, () => new LeavingServer()));
		listed = await Promise.all(
			servers.map(async (server, index) => ({
				...(await server.start(`s${index}`)),
				zone: index === 0 ? 'a' : 'b',
			})),
		);
		fixture = await EntryFixture.start(
			listed,
			kind === 'stream' ? forwardUnsettledStream : forwardPlain,
			{kind, timeoutMs: 5000, maxAttempts: 2},
		);
		return servers;
	};

	const sendMany = async (count: number, prefix: string) => {
		const statuses: number[] = [];
		for (let index = 0; index < count; index++) {
			const {status} = await fixture.send(`${prefix}${index}`);
			statuses.push(status);
		}

		return statuses;
	};

	const kinds: RequestKind[] = ['idempotent', 'non-idempotent', 'stream'];

	it.each(kinds)(
		'get no further request, although the list shows them as ready: %s',
		async (kind) => {
			// Guards against requests to a server that stops in the middle of their work.
			const [leaving, staying] = await start(kind);
			leaving!.extraHead = LEAVING;
			await sendMany(20, 'r');
			expect(leaving!.requestCount).toBeLessThanOrEqual(1);
			fixture.context.view.merge({
				servers: {stamp: {term: 1, sequence: 2}, items: listed},
			});
			fixture.upstreams.updateServers();
			const before = leaving!.requestCount;
			expect(await sendMany(10, 'q')).toEqual(
				Array.from({length: 10}, () => 200),
			);
			expect(leaving!.requestCount).toBe(before);
			expect(staying!.requestCount).toBeGreaterThan(20);
		},
	);

	it.each(kinds)(
		'are left as soon as the head of an answer arrives, also of a refusal: %s',
		async (kind) => {
			const [leaving] = await start(kind);
			leaving!.extraHead = LEAVING;
			leaving!.isFull = true;
			expect(await sendMany(10, 'r')).toEqual(
				Array.from({length: 10}, () => 200),
			);
			expect(leaving!.requestCount).toBeLessThanOrEqual(1);
		},
	);

	it.each(kinds)(
		'lose the requests that wait for a connection to them, which run elsewhere: %s',
		async (kind) => {
			// Guards against requests that wait in the queue of a connection until the server is gone.
			const [leaving, staying] = await start(kind, 1);
			leaving!.pauseMs = 400;
			leaving!.extraHead = LEAVING;
			const sending = Array.from({length: 30}, async (_, index) =>
				fixture.send(`r${index}`),
			);
			await expect.poll(() => leaving!.requestCount).toBeGreaterThan(1);
			const other = new LeavingServer();
			servers.push(other);
			fixture.context.view.merge({
				servers: {
					stamp: {term: 1, sequence: 2},
					items: [...listed, await other.start('s-other')],
				},
			});
			fixture.upstreams.updateServers();
			const answers = await Promise.all(sending);
			expect(new Set(answers.map(({status}) => status))).toEqual(
				new Set([200]),
			);
			expect(staying).toBeUndefined();
			expect(leaving!.requestCount).toBeLessThan(30);
			expect(leaving!.requestCount + other.requestCount).toBe(30);
		},
	);

	it.each(kinds)(
		'serve for a short time when the whole service leaves, and then requests are refused at once as not run: %s',
		async (kind) => {
			// Guards against a service without servers whose requests wait until their deadline.
			await start(kind);
			for (const server of servers) {
				server.extraHead = LEAVING;
			}

			expect(await sendMany(6, 'r')).toEqual(
				Array.from({length: 6}, () => 200),
			);
			await sleep(USE_MS);
			const before = servers.map(({requestCount}) => requestCount);
			const startedAtMs = performance.now();
			const refused = await fixture.send('late');
			expect(refused).toMatchObject({status: 503, verdict: 'not-run'});
			expect(performance.now() - startedAtMs).toBeLessThan(1000);
			expect(servers.map(({requestCount}) => requestCount)).toEqual(before);
		},
	);

	it('are used again when another instance takes their place', async () => {
		const [first, second] = await start('idempotent');
		first!.extraHead = LEAVING;
		second!.extraHead = LEAVING;
		await sendMany(4, 'r');
		first!.extraHead = '';
		fixture.context.view.merge({
			servers: {
				stamp: {term: 1, sequence: 2},
				items: [{...listed[0]!, bornAtMs: 2}],
			},
		});
		fixture.upstreams.updateServers();
		await sleep(USE_MS);
		expect(await sendMany(4, 'q')).toEqual([200, 200, 200, 200]);
	});

	it.each([
		['an unreadable value', 'X-Leaving: odd\r\n'],
		['no header', ''],
	])('are not taken for leaving because of %s', async (_name, extraHead) => {
		const [first] = await start('idempotent');
		first!.extraHead = extraHead;
		await sendMany(20, 'r');
		expect(first!.requestCount).toBeGreaterThan(2);
	});

	it('take nothing but themselves out of use when they announce it for ever', async () => {
		// Guards against a faulty server that empties its service.
		const [faulty] = await start('idempotent', 3);
		faulty!.extraHead = LEAVING;
		await sendMany(5, 'r');
		await sleep(USE_MS);
		expect(await sendMany(20, 'q')).toEqual(
			Array.from({length: 20}, () => 200),
		);
	});
});
