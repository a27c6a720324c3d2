import {
	chooseServer,
	type InFlightByServer,
	PartPopularity,
	type PromptPart,
	type ServerLoad,
	ServerTable,
} from '@marjoramcove/balancer';
import {
	type AnswerHead,
	type AnswerStart,
	findHeader,
	type RequestHead,
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

const serverKey = ({server}: ServerLoad): string =>
	`${server.id} ${server.address} ${server.bornAtMs ?? ''}`;

/** Chooses servers, sends attempts to them, and remembers what became of them. */
export class Upstreams {
	readonly #context: GatewayContext;
	readonly #table = new ServerTable();
	readonly #client = new UpstreamClient();
	readonly #popularity = new PartPopularity();

	constructor(context: GatewayContext) {
		this.#context = context;
	}

	/** Takes the servers of the view. */
	update(): void {
		this.#table.replace(this.#context.view.servers);
		this.#client.retain(
			new Set(this.#table.all().map((load) => serverKey(load))),
		);
	}

	/** Requests of this daemon that are under way, by server. */
	describeInFlight(): Record<string, number> {
		return this.#table.describeInFlight();
	}

	/** Takes the requests that other daemons have under way. */
	noteOthers(inFlight: InFlightByServer): void {
		this.#table.noteOthers(inFlight);
	}

	async close(): Promise<void> {
		await this.#client.close();
	}

	/** Chooses a server that the request has not been sent to. */
	choose(
		request: RequestContext,
		excludedIds: ReadonlySet<UpstreamId>,
	): ServerLoad | undefined {
		const {route, head, service, last} = request;
		return chooseServer(this.#table.candidates(service, performance.now()), {
			zone: this.#context.settings.zone,
			prompt: route.hasPrompt ? this.#describePrompt(head) : undefined,
			last,
			excludedIds,
			random: Math.random,
		});
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
		let isCounted = true;
		const release = () => {
			load.inFlight -= isCounted ? 1 : 0;
			isCounted = false;
		};

		load.inFlight++;
		const parts = request.head.promptParts ?? [];
		load.noteParts(parts);
		this.#popularity.note(
			request.head.programId ?? request.head.requestId ?? '',
			parts.map(({id}) => id),
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

	#describePrompt({promptParts = []}: RequestHead): PromptPart[] {
		return promptParts.map(({id, tokens}) => ({
			id,
			tokens,
			isCommon: this.#popularity.isCommon(id),
		}));
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
