import {
	Placement,
	type PlacementRequest,
	type ServerLoad,
} from '@marjoramcove/balancer';
import {
	type AnswerHead,
	type AnswerStart,
	findHeader,
	UpstreamClient,
	type UpstreamExchange,
	type UpstreamFailure,
} from '@marjoramcove/ingress';
import type {RouteTable} from '@marjoramcove/routes';
import type {UpstreamId} from '@marjoramcove/types';
import type {GatewayContext} from '../gateway-context.ts';
import type {RequestContext} from './request-context.ts';

/** Time for which a server that could not be reached, or broke an answer off, is avoided. */
const AVOID_FAILED_MS = 1000;

/** Time for which a server that refused a request because it is full is avoided. */
const AVOID_FULL_MS = 50;

/** Connections that a daemon may always hold to a server. */
const MIN_CONNECTIONS = 2;

export type AttemptHandlers = {
	onSent?: () => void;
	onStart: (answer: AnswerStart & {head: AnswerHead}) => void;
	onData: (chunk: Uint8Array) => void;
	onEnd: () => void;
	onFailure: (failure: UpstreamFailure) => void;
};

const NONE_EXCLUDED: ReadonlySet<UpstreamId> = new Set();

const describePlacement = (
	{route, head, service, last}: RequestContext,
	excludedIds: ReadonlySet<UpstreamId>,
): PlacementRequest => ({
	service,
	prompt: route.hasPrompt ? (head.promptParts ?? []) : undefined,
	programId: head.programId ?? head.requestId ?? '',
	last,
	excludedIds,
});

const serverKey = ({server}: ServerLoad): string =>
	`${server.id} ${server.address} ${server.bornAtMs ?? ''}`;

/** Chooses servers, sends attempts to them, and remembers what became of them. */
export class Upstreams {
	/** What this daemon knows of the load of servers and of what they keep. */
	readonly placement: Placement;
	readonly #context: GatewayContext;
	readonly #client = new UpstreamClient();

	constructor(context: GatewayContext) {
		this.#context = context;
		this.placement = new Placement({zone: context.settings.zone});
	}

	/** Takes the servers of the view. */
	update(): void {
		this.placement.replaceServers(this.#context.view.servers);
		this.#client.retain(
			new Set(this.placement.servers.map((load) => serverKey(load))),
		);
	}

	async close(): Promise<void> {
		await this.#client.close();
	}

	/** Chooses a server that the request has not been sent to. */
	choose(
		request: RequestContext,
		excludedIds: ReadonlySet<UpstreamId>,
	): ServerLoad | undefined {
		const placed = describePlacement(request, excludedIds);
		return this.placement.choose(placed, performance.now());
	}

	/** Sends the request to a server, once. */
	send(
		request: RequestContext,
		load: ServerLoad,
		table: RouteTable,
		handlers: AttemptHandlers,
	): UpstreamExchange {
		const {exchange, deadlineMs, body, service} = request;
		const {heads} = this.#context.adapter;
		const {server} = load;
		const maxConnections = table.service(service)?.maxConnections ?? Infinity;
		const entryCount = Math.max(
			1,
			this.#context.view.membersOf('entry').length,
		);
		let isOver = false;
		const release = () => {
			if (!isOver) {
				isOver = true;
				this.placement.noteEnd(load);
			}
		};

		this.placement.noteSent(
			load,
			describePlacement(request, NONE_EXCLUDED),
			performance.now(),
		);
		const sent = this.#client.send(
			{
				key: serverKey(load),
				address: server.address,
				maxConnections: Math.max(
					MIN_CONNECTIONS,
					Math.min(server.slots * 2, Math.floor(maxConnections / entryCount)),
				),
			},
			{
				method: exchange.method,
				target: exchange.target,
				headers: heads.encodeForServer(exchange.headers, {
					serverId: server.id,
					timeLeftMs: Math.max(1, Math.floor(deadlineMs - performance.now())),
				}),
				body,
			},
			{
				onSent: handlers.onSent,
				onStart: (answer) => {
					const head = heads.decodeAnswer(answer.status, answer.headers);
					this.#noteAnswer(load, answer, head);
					handlers.onStart({...answer, head});
				},
				onData: handlers.onData,
				onEnd() {
					release();
					handlers.onEnd();
				},
				onFailure(failure) {
					release();
					load.avoidUntilMs = performance.now() + AVOID_FAILED_MS;
					handlers.onFailure(failure);
				},
			},
		);
		return {
			...sent,
			pause() {
				sent.pause();
			},
			resume() {
				sent.resume();
			},
			cancel() {
				release();
				sent.cancel();
			},
		};
	}

	#noteAnswer(load: ServerLoad, answer: AnswerStart, head: AnswerHead): void {
		if (head.isNotRun) {
			load.avoidUntilMs =
				performance.now() +
				(answer.status === 421 ? AVOID_FAILED_MS : AVOID_FULL_MS);
		}

		const connection = findHeader(answer.headers, 'connection') ?? '';
		if (head.isNotRun && connection.toLowerCase().includes('close')) {
			load.avoidUntilMs = performance.now() + AVOID_FAILED_MS;
		}
	}
}
