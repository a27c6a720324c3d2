import {
	type AttemptEnd,
	Placement,
	type PlacementRequest,
	type ServerLoad,
	type WatchedAttempt,
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

/** Time for which a server that says that it is leaving, or is another one, is avoided. */
const AVOID_LEAVING_MS = 1000;

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

/** An answer that says that nothing ran tells of the load of its server, not of its health. */
const judgeAnswer = ({status}: AnswerStart, head: AnswerHead): AttemptEnd => {
	if (head.isNotRun) {
		return 'cancelled';
	}

	return status >= 500 ? 'error' : 'answered';
};

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
		const sentAtMs = performance.now();
		const attempt = load.health.begin(
			{
				route: request.route.name,
				streams: request.route.kind === 'stream' ? service : undefined,
			},
			sentAtMs,
		);
		let answerEnd: AttemptEnd = 'answered';
		let isOver = false;
		const release = (end: AttemptEnd) => {
			if (!isOver) {
				isOver = true;
				this.placement.noteEnd(load);
				this.#noteAttemptEnd(load, attempt, end);
			}
		};

		this.placement.noteSent(
			load,
			describePlacement(request, NONE_EXCLUDED),
			sentAtMs,
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
					this.#noteRefusal(load, answer, head);
					answerEnd = judgeAnswer(answer, head);
					handlers.onStart({...answer, head});
				},
				onData(chunk) {
					load.health.notePiece(attempt, performance.now());
					handlers.onData(chunk);
				},
				onEnd() {
					release(answerEnd);
					handlers.onEnd();
				},
				onFailure(failure) {
					release('failed');
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
				release('cancelled');
				sent.cancel();
			},
		};
	}

	/** A server that did not run the request says for how long it is of no use. */
	#noteRefusal(load: ServerLoad, answer: AnswerStart, head: AnswerHead): void {
		if (!head.isNotRun) {
			return;
		}

		const connection = findHeader(answer.headers, 'connection') ?? '';
		const isLeaving =
			answer.status === 421 || connection.toLowerCase().includes('close');
		load.avoidUntilMs =
			performance.now() + (isLeaving ? AVOID_LEAVING_MS : AVOID_FULL_MS);
	}

	#noteAttemptEnd(
		load: ServerLoad,
		attempt: WatchedAttempt,
		end: AttemptEnd,
	): void {
		const nowMs = performance.now();
		const avoidMs = load.health.end(attempt, end, nowMs);
		if (avoidMs > 0) {
			this.#context.logger.warn({
				event: 'server-avoided',
				server: load.server.id,
				service: load.server.service,
				route: attempt.route,
				end,
				waitedMs: Math.round(nowMs - attempt.sentAtMs),
				avoidMs,
			});
		}
	}
}
