import {createServer, type Server, type Socket} from 'node:net';
import {once} from 'node:events';
import {
	type CallerIdentity,
	EventStreamReader,
	findHeader,
	findUnanimousHeader,
	HeadCodec,
	type HeaderList,
	IngressServer,
	type RequestHead,
	type ResponseHead,
} from '@marjoramcove/ingress';
import type {ListedServer} from '@marjoramcove/inventory';
import {type Route, RouteTable, type Team} from '@marjoramcove/routes';
import {
	asId,
	type DaemonId,
	type ProgramId,
	type RequestId,
	type UpstreamId,
} from '@marjoramcove/types';
import {createLogger} from '@marjoramcove/logger';
import {GatewayAdapter} from '../gateway-adapter.ts';
import {createGatewayContext, type GatewayContext} from '../gateway-context.ts';
import {
	DEFAULT_GATEWAY_TIMING,
	type GatewaySettings,
} from '../gateway-settings.ts';
import {admitCaller} from './check-access.ts';
import {forwardStream} from './forward-stream.ts';
import {refuseRequest} from './refuse-request.ts';
import type {RequestContext, RequestOutcome} from './request-context.ts';
import {Upstreams} from './upstreams.ts';

const readNumber = (headers: HeaderList, name: string): number | undefined => {
	const text = findHeader(headers, name);
	return text === undefined ? undefined : Number(text);
};

/** Header codec of the tests: a request id, its program, a key, and whether a server signed its response. */
export class FixtureHeadCodec extends HeadCodec {
	override decodeRequest(headers: HeaderList): RequestHead {
		const key = findHeader(headers, 'x-key');
		return {
			requestId: asId<RequestId>(findHeader(headers, 'x-request')!),
			deadlineMs: readNumber(headers, 'x-deadline-ms'),
			budgetTokens: readNumber(headers, 'x-budget'),
			maxTokens: readNumber(headers, 'x-max-tokens'),
			programId: findHeader(headers, 'x-program') as ProgramId | undefined,
			programDeadlineMs: readNumber(headers, 'x-program-deadline-ms'),
			previousTurnId: findHeader(headers, 'x-previous') as
				RequestId | undefined,
			...(key !== undefined && {keys: [key]}),
		};
	}

	override encodeForServer(
		headers: HeaderList,
		{identity}: {identity?: CallerIdentity},
	): HeaderList {
		const forwarded = headers.filter(
			([name]) => name.toLowerCase() !== 'content-length',
		);
		if (!identity) {
			return forwarded;
		}

		const {teamId} = identity;
		return [
			...forwarded.filter(([name]) => name !== 'x-key'),
			...(teamId === undefined ? [] : [['X-Team', teamId] as const]),
		];
	}

	override decodeResponse(status: number, headers: HeaderList): ResponseHead {
		const limit = findHeader(headers, 'x-limit');
		return {
			requestId: findUnanimousHeader(headers, 'x-request') as
				RequestId | undefined,
			isNotRun: findHeader(headers, 'x-not-run') !== undefined,
			isSigned: findHeader(headers, 'x-signature') !== undefined,
			isServerLeaving: findHeader(headers, 'x-leaving') === '1',
			unreadableHeaders:
				findHeader(headers, 'x-leaving') === 'odd' ? ['x-leaving'] : [],
			requestsPerSecond: limit === undefined ? undefined : Number(limit),
		};
	}

	override encodeLocalResponse({
		retryAfterMs,
	}: {
		retryAfterMs?: number;
	}): HeaderList {
		return retryAfterMs === undefined
			? []
			: [['X-Retry-After-Ms', String(retryAfterMs)]];
	}
}

/** Maximum size of a request body. */
const BODY_LIMIT_BYTES = 32_000_000;

/** Returns the id in the head of a request. */
export const requestIdOf = (requestHead: string): string =>
	/^x-request: (?<id>.*)$/imu.exec(requestHead)!.groups!.id!;

/** A server of the tests that answers each request with raw bytes. */
export class RawServer {
	/** Number of requests received; a request is a chunk that contains the end of a head. */
	requestCount = 0;
	/** Open connections that carried a request. */
	readonly usedSockets = new Set<Socket>();
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	constructor(
		answer: (socket: Socket, requestIndex: number, head: string) => void,
	) {
		this.#server = createServer((socket) => {
			this.#sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('close', () => {
				this.#sockets.delete(socket);
				this.usedSockets.delete(socket);
			});
			socket.on('data', (chunk) => {
				if (chunk.includes('\r\n\r\n')) {
					this.requestCount++;
					this.usedSockets.add(socket);
					answer(socket, this.requestCount, chunk.toString());
				}
			});
		});
	}

	/** Starts listening and describes the server as the server list does. */
	async start(id: string): Promise<ListedServer> {
		this.#server.listen(0, '127.0.0.1');
		await once(this.#server, 'listening');
		const address = this.#server.address();
		const port = typeof address === 'object' && address ? address.port : 0;
		return {
			id: asId<UpstreamId>(id),
			service: 'desk',
			address: `127.0.0.1:${port}`,
			zone: 'a',
			slots: 4,
			isLeaving: false,
		};
	}

	async stop(): Promise<void> {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		this.#server.close();
	}
}

const createRoute = (changes: Partial<Route>): Route => ({
	name: 'r-1',
	host: '127.0.0.1',
	pathPrefix: '/',
	kind: 'idempotent',
	services: [{service: 'desk', weight: 1}],
	timeoutMs: 5000,
	targetLatencyMs: 100,
	targetGapMs: 0,
	priority: 0,
	maxAttempts: 1,
	isResumable: false,
	hasAffinity: false,
	isPublic: false,
	keepsTurns: false,
	retentionMs: 0,
	...changes,
});

const createTable = (
	version: number,
	route: Route,
	teams?: Team[],
): RouteTable =>
	new RouteTable({
		version,
		routes: [route],
		services: [{name: 'desk', healthPath: '/health', maxConnections: 100}],
		...(teams && {teams}),
		limits: {
			headerSizeBytes: 16_384,
			bodySizeBytes: 1_000_000,
			headerTimeoutMs: 3000,
			idleTimeoutMs: 15_000,
		},
	});

const settings: GatewaySettings = {
	name: 'entry-1',
	daemonId: asId<DaemonId>('127.0.0.1:1'),
	role: 'entry',
	zone: 'a',
	seeds: [],
	isFirstFormation: false,
	listen: {},
	replication: {factor: 1, minShardCount: 1},
	timing: DEFAULT_GATEWAY_TIMING,
	logs: {level: 'error', destination: '/dev/null'},
};

/** Adapter whose only working part is the header codec. */
class FixtureAdapter extends GatewayAdapter {
	override readonly headCodec = new FixtureHeadCodec();

	override decodeDocument(): never {
		throw new Error('The fixture has no routing document.');
	}

	override createInventory(): never {
		throw new Error('The fixture has no server list.');
	}

	override createOperatorListener(): never {
		throw new Error('The fixture serves no operators.');
	}

	override createDirectoryListener(): never {
		throw new Error('The fixture has no directory.');
	}

	override createReadyListener(): never {
		throw new Error('The fixture has no readiness check.');
	}
}

type Forward = (
	context: GatewayContext,
	request: RequestContext,
	options: {upstreams: Upstreams; table: RouteTable},
) => Promise<RequestOutcome>;

/** Forwards a stream that has nothing to settle. */
export const forwardUnsettledStream: Forward = async (
	context,
	request,
	options,
) =>
	forwardStream(context, request, {
		...options,
		reader: new EventStreamReader(),
		async beforeEnd() {
			// Nothing to settle.
		},
	});

/** An entry daemon reduced to its HTTP server and its servers, with the route under test. */
export class EntryFixture {
	static async start(
		servers: ListedServer[],
		forward: Forward,
		routeChanges: Partial<Route> = {},
		settingsChanges: Partial<GatewaySettings> = {},
	): Promise<EntryFixture> {
		const {logger, dropped} = await createLogger(settings.logs);
		const context = createGatewayContext({
			settings: {...settings, ...settingsChanges},
			adapter: new FixtureAdapter(),
			logger,
			droppedLogLines: dropped,
			fail(error) {
				throw error as Error;
			},
		});
		const fixture = new EntryFixture(
			context,
			forward,
			createRoute(routeChanges),
		);
		context.view.merge({
			servers: {stamp: {term: 1, sequence: 1}, items: servers},
		});
		fixture.upstreams.updateServers();
		fixture.upstreams.placement.replaceDaemons(
			settings.daemonId,
			[settings.daemonId],
			performance.now(),
		);
		fixture.port = await fixture.#server.start();
		return fixture;
	}

	readonly upstreams: Upstreams;
	readonly outcomes: RequestOutcome[] = [];
	/** Port of the entry on the loopback address. */
	port = 0;
	readonly #server: IngressServer;
	readonly #route: Route;

	private constructor(
		readonly context: GatewayContext,
		forward: Forward,
		route: Route,
	) {
		this.upstreams = new Upstreams(context);
		this.#route = route;
		const table = createTable(1, route);
		this.#server = new IngressServer({
			address: '127.0.0.1:0',
			onRequest: async (exchange) => {
				const head = context.adapter.headCodec.decodeRequest(exchange.headers);
				const access = admitCaller(context, head, route);
				if ('status' in access) {
					this.outcomes.push(refuseRequest(context, {exchange, head}, access));
					return;
				}

				const body = await exchange.readBody(BODY_LIMIT_BYTES);
				const outcome = await forward(
					context,
					{
						exchange,
						head,
						route,
						service: 'desk',
						body,
						deadlineMs:
							exchange.receivedAtMs + (head.deadlineMs ?? route.timeoutMs),
						teamId: access.teamId,
						keyDigest: access.keyDigest,
						priority:
							readNumber(exchange.headers, 'x-priority') ??
							access.priority ??
							route.priority,
						documentVersion: 1,
						progress: {},
						received: {},
					},
					{upstreams: this.upstreams, table},
				);
				this.outcomes.push(outcome);
			},
		});
	}

	/** Adopts a document with teams that a quorum has just confirmed. */
	adoptTeams(
		version: number,
		teams: Team[],
		routeChanges: Partial<Route> = {},
	): void {
		this.context.accessGate.adopt(
			createTable(version, {...this.#route, ...routeChanges}, teams),
		);
		this.context.view.recordConfirmation(performance.now());
	}

	/** Sends a request as a caller. */
	async send(
		requestId: string,
		headers: Record<string, string> = {},
		signal?: AbortSignal,
	): Promise<{
		status: number;
		verdict?: string;
		body: string;
		retryAfterMs?: number;
	}> {
		const response = await fetch(`http://127.0.0.1:${this.port}/x`, {
			headers: {'x-request': requestId, ...headers},
			signal,
		});
		const body = await response.text();
		const isError = body.startsWith('{"error"');
		const verdict = isError
			? (JSON.parse(body) as {error: {verdict: string}}).error.verdict
			: undefined;
		const retryAfterMs = response.headers.get('x-retry-after-ms');
		return {
			status: response.status,
			verdict,
			body,
			...(retryAfterMs !== null && {retryAfterMs: Number(retryAfterMs)}),
		};
	}

	async stop(): Promise<void> {
		await this.#server.stop();
		await this.upstreams.close();
	}
}
