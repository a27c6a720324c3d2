import {
	type AttemptOutcome,
	Placement,
	type ServerLoad,
	type ObservedAttempt,
} from '@marjoramcove/balancer';
import {
	BODY_UNREADABLE_CODE,
	BufferMemory,
	MAX_BUFFERED_BYTES,
	type ResponseHead,
	type ResponseStart,
	findHeader,
	UpstreamClient,
	type UpstreamExchange,
	type UpstreamFailure,
} from '@marjoramcove/ingress';
import type {RouteTable} from '@marjoramcove/routes';
import type {UpstreamId} from '@marjoramcove/types';
import type {GatewayContext} from '../gateway-context.ts';
import {checkAccessBeforeWrite} from './check-access.ts';
import {createPlacementRequest} from './create-placement-request.ts';
import {logRateChange} from './log-rate-change.ts';
import {logServerLeaving} from './log-server-leaving.ts';
import type {ReceivedResponse, RequestContext} from './request-context.ts';
import {ResponseCheck} from './response-check.ts';
import {ServiceQueues} from './service-queues.ts';
import {UnsentAttempts} from './unsent-attempts.ts';

/** Time for which a server is avoided that is shutting down or is not the instance that was addressed. */
const AVOID_LEAVING_MS = 1000;

/** Time for which a server is avoided that refused a request because it was full. */
const AVOID_FULL_MS = 50;

/** Minimum connection limit of a daemon to a server. */
const MIN_CONNECTIONS = 2;

export type AttemptHandlers = {
	onSent?: () => void;
	/** Called with a head that belongs to the request. */
	onStart: (answer: ResponseStart & {head: ResponseHead}) => void;
	onData: (chunk: Uint8Array) => void;
	/** Called when the response is whole, see {@link ResponseCheck}. */
	onEnd: () => void;
	onFailure: (failure: UpstreamFailure) => void;
};

/** An attempt in progress. */
export type AttemptExchange = UpstreamExchange & {
	/** Cancels the attempt because the server misbehaves, which counts as a failure of the server. */
	reject: () => void;
};

const NO_EXCLUDED_IDS: ReadonlySet<UpstreamId> = new Set();

const createDefectFailure = (code: string): UpstreamFailure => ({
	verdict: 'may-have-run',
	code,
	message: `The response of the server is not valid: ${code}.`,
});

/** Chooses servers, sends attempts to them and tracks the results. */
export class Upstreams {
	/** Load and cached prompt parts of the servers, as known to this daemon. */
	readonly placement: Placement;
	/** Memory of all responses that are buffered. */
	readonly bufferMemory = new BufferMemory(MAX_BUFFERED_BYTES);
	/** Queues of the services; absent if requests are sent at once. */
	readonly queues: ServiceQueues | undefined;
	readonly #context: GatewayContext;
	readonly #client = new UpstreamClient();
	readonly #unsent = new UnsentAttempts();
	/** Timers that withdraw the attempts still waiting for a leaving server, by its key. */
	readonly #withdrawalTimers = new Map<string, NodeJS.Timeout>();
	/** Instances of servers whose unreadable headers have been logged. */
	readonly #unreadable = new WeakSet<ServerLoad>();

	constructor(context: GatewayContext) {
		this.#context = context;
		const {zone, timing} = context.settings;
		this.placement = new Placement({
			zone,
			leavingUseMs: timing.leavingServerUseMs,
		});
		if (context.settings.hasAdmissionControl) {
			this.queues = new ServiceQueues(context, this.placement);
		}
	}

	/** Adopts the servers of the current view. */
	updateServers(): void {
		const startedLeaving = this.placement.replaceServers(
			this.#context.view.servers,
			performance.now(),
		);
		const keys = new Set(this.placement.servers.map(({key}) => key));
		for (const key of this.#unsent.keys) {
			if (!keys.has(key)) {
				this.#unsent.withdraw(key);
			}
		}

		this.#client.retain(keys);
		for (const load of startedLeaving) {
			logServerLeaving(this.#context, load, 'list');
			this.#withdrawFromLeaving(load);
		}
	}

	async close(): Promise<void> {
		for (const timer of this.#withdrawalTimers.values()) {
			clearTimeout(timer);
		}

		this.#withdrawalTimers.clear();
		this.queues?.close();
		await this.#client.close();
	}

	/** Chooses a server that the request has not been sent to yet. */
	choose(
		request: RequestContext,
		excludedIds: ReadonlySet<UpstreamId>,
		nowMs: number,
	): ServerLoad | undefined {
		return this.placement.choose(
			{
				...createPlacementRequest(request, excludedIds),
				isConnected: ({key}) => this.#client.hasIdleConnection(key),
			},
			nowMs,
		);
	}

	/** Applies the entry daemons of the current view, among which the rates of servers are shared. */
	updateDaemons(): void {
		const {view, settings} = this.#context;
		const entries = view
			.membersWithRole('entry')
			.filter(({phase}) => phase === 'ready');
		this.placement.replaceDaemons(
			settings.daemonId,
			entries.map(({daemonId}) => daemonId),
			performance.now(),
		);
		this.placement.replaceDaemonZones(settings.daemonId, entries);
	}

	/**
	 * Returns the time at which the stated rates of the servers next allow the request; `Infinity` if they
	 * allow this daemon none, `undefined` if there is no server left.
	 */
	nextPermitAtMs(
		{service}: RequestContext,
		excludedIds: ReadonlySet<UpstreamId>,
		nowMs: number,
	): number | undefined {
		return this.placement.nextPermitAtMs({service, excludedIds}, nowMs);
	}

	/** Sends one attempt of the request to a server. */
	send(
		request: RequestContext,
		load: ServerLoad,
		table: RouteTable,
		handlers: AttemptHandlers,
	): AttemptExchange {
		const {exchange, deadlineMs, service, received} = request;
		const {adapter, accessGate} = this.#context;
		const {headCodec} = adapter;
		const identity = accessGate.hasTeams ? {teamId: request.teamId} : undefined;
		// What an earlier attempt received says nothing about this one.
		const unreceived: ReceivedResponse = {
			framing: undefined,
			bodySizeBytes: undefined,
			events: undefined,
		};
		Object.assign(received, unreceived);
		const {server} = load;
		const maxConnections = table.service(service)?.maxConnections ?? Infinity;
		const entryCount = Math.max(
			1,
			this.#context.view.membersWithRole('entry').length,
		);
		const sentAtMs = performance.now();
		const placementRequest = createPlacementRequest(request, NO_EXCLUDED_IDS);
		const attempt = load.health.begin(
			{
				route: request.route.name,
				streamGroup: request.route.kind === 'stream' ? service : undefined,
				uncachedTokens: this.placement.countUncachedTokens(
					load,
					placementRequest,
					sentAtMs,
				),
			},
			sentAtMs,
		);
		const check = new ResponseCheck(request);
		let isReleased = false;
		let isRefusedAsFull = false;
		const release = (end: AttemptOutcome) => {
			if (!isReleased) {
				isReleased = true;
				removeUnsent();
				this.placement.recordEnd(load);
				const tokensPerEvent =
					table.service(service)?.engine?.tokensPerEvent ?? 1;
				this.queues?.finish(request, {
					outcome: end,
					isRefusedAsFull,
					generatedTokens: (received.events ?? 0) * tokensPerEvent,
				});
				this.#recordAttemptEnd(load, attempt, end);
			}
		};

		const removeUnsent = this.#unsent.add(load.key, () => {
			release('cancelled');
			upstreamExchange.cancel();
			handlers.onFailure({
				verdict: 'not-run',
				code: 'server-leaving',
				message: 'The server is leaving.',
			});
		});
		if (load.leaving.leavingSinceMs !== undefined) {
			this.#scheduleWithdrawal(load);
		}

		this.placement.recordSent(load, placementRequest, sentAtMs);
		const upstreamExchange = this.#client.send(
			{
				key: load.key,
				address: server.address,
				maxConnections: Math.max(
					MIN_CONNECTIONS,
					Math.min(server.slots * 2, Math.floor(maxConnections / entryCount)),
				),
			},
			{
				method: exchange.method,
				target: exchange.target,
				headers: headCodec.encodeForServer(exchange.headers, {
					serverId: server.id,
					timeLeftMs: Math.max(1, Math.floor(deadlineMs - performance.now())),
					identity,
				}),
				body: request.sentBody ?? request.body,
			},
			{
				beforeSend: () => {
					const failure = checkAccessBeforeWrite(
						this.#context,
						request,
						identity,
					);
					if (failure) {
						release('cancelled');
					}

					return failure;
				},
				onSent() {
					removeUnsent();
					handlers.onSent?.();
				},
				onStart: (answer) => {
					const head = headCodec.decodeResponse(answer.status, answer.headers);
					const defect = check.start({...answer, head});
					received.framing = check.framing;
					received.bodySizeBytes = 0;
					if (check.isOwn) {
						isRefusedAsFull = head.isNotRun && answer.status === 503;
						this.#avoidIfNotRun(load, answer, head);
						this.#recordRate(load, answer, head);
						this.#recordLeaving(load, answer, head);
					}

					if (defect !== undefined) {
						release(check.outcome);
						upstreamExchange.cancel();
						handlers.onFailure(createDefectFailure(defect));
						return;
					}

					handlers.onStart({...answer, head});
				},
				onData(chunk) {
					received.bodySizeBytes = (received.bodySizeBytes ?? 0) + chunk.length;
					load.health.recordChunk(attempt, performance.now());
					check.push(chunk);
					handlers.onData(chunk);
				},
				onEnd() {
					const defect = check.findDefectAtEnd();
					if (defect === undefined) {
						release(check.outcome);
						handlers.onEnd();
					} else {
						release('failed');
						handlers.onFailure(createDefectFailure(defect));
					}
				},
				onFailure(failure) {
					const isOwnFault = failure.code === BODY_UNREADABLE_CODE;
					release(isOwnFault ? 'cancelled' : 'failed');
					handlers.onFailure(failure);
				},
			},
		);
		return {
			...upstreamExchange,
			pause() {
				upstreamExchange.pause();
			},
			resume() {
				upstreamExchange.resume();
			},
			cancel() {
				release('cancelled');
				upstreamExchange.cancel();
			},
			reject() {
				release('failed');
				upstreamExchange.cancel();
			},
		};
	}

	/** Temporarily avoids a server that reports that it did not run the request. */
	#avoidIfNotRun(
		load: ServerLoad,
		answer: ResponseStart,
		head: ResponseHead,
	): void {
		if (!head.isNotRun) {
			return;
		}

		const connection = findHeader(answer.headers, 'connection') ?? '';
		const isLeaving =
			answer.status === 421 || connection.toLowerCase().includes('close');
		load.avoidUntilMs =
			performance.now() + (isLeaving ? AVOID_LEAVING_MS : AVOID_FULL_MS);
	}

	/** Records that the server announces in its response that it is leaving. */
	#recordLeaving(
		load: ServerLoad,
		{status}: ResponseStart,
		head: ResponseHead,
	): void {
		if (head.unreadableHeaders.length > 0 && !this.#unreadable.has(load)) {
			this.#unreadable.add(load);
			this.#context.logger.warn({
				event: 'response-headers-unreadable',
				server: load.server.id,
				service: load.server.service,
				headers: head.unreadableHeaders.join(','),
			});
		}

		// Another instance may answer 421 at the address.
		if (!head.isServerLeaving || status === 421) {
			return;
		}

		if (load.leaving.recordAnswer(performance.now())) {
			logServerLeaving(this.#context, load, 'answer');
			this.#withdrawFromLeaving(load);
		}
	}

	/**
	 * Withdraws the attempts that wait for a connection to a leaving server: at once if another server can take
	 * them, otherwise when the server may not be used any longer.
	 */
	#withdrawFromLeaving(load: ServerLoad): void {
		const {key, server} = load;
		if (this.placement.hasStayingServer(server.service)) {
			this.#unsent.withdraw(key);
		} else {
			this.#scheduleWithdrawal(load);
		}
	}

	/** Withdraws the attempts that still wait for a leaving server once it may not be used any longer. */
	#scheduleWithdrawal(load: ServerLoad): void {
		const {key} = load;
		if (this.#withdrawalTimers.has(key)) {
			return;
		}

		const delayMs = this.placement.usableUntilMs(load) - performance.now();
		const timer = setTimeout(
			() => {
				this.#withdrawalTimers.delete(key);
				this.#unsent.withdraw(key);
			},
			Math.max(0, delayMs),
		);
		this.#withdrawalTimers.set(key, timer);
	}

	/** Records the request rate that the response of the server states. */
	#recordRate(
		load: ServerLoad,
		{status}: ResponseStart,
		{requestsPerSecond, isNotRun, isSigned}: ResponseHead,
	): void {
		// A refusal need not repeat the limit, so that only a served request shows that there is none.
		const isStatement =
			requestsPerSecond !== undefined || (isSigned && !isNotRun);
		if (status === 421 || !isStatement) {
			return;
		}

		const nowMs = performance.now();
		if (this.placement.recordRate(load, requestsPerSecond, nowMs)) {
			logRateChange(this.#context.logger, load, 'server');
		}
	}

	#recordAttemptEnd(
		load: ServerLoad,
		attempt: ObservedAttempt,
		end: AttemptOutcome,
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
