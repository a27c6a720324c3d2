import {messageOf, reasonOf} from '@marjoramcove/errors';
import {
	BodyMemory,
	type CallerExchange,
	IngressServer,
	type RequestHead,
	EventStreamReader,
} from '@marjoramcove/ingress';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import {chooseService, RouteTable} from '@marjoramcove/routes';
import {admitCaller} from '../entry/check-access.ts';
import {explainRoute} from '../entry/explain-route.ts';
import {forwardPlain} from '../entry/forward-plain.ts';
import {forwardStream} from '../entry/forward-stream.ts';
import {forwardTurn} from '../entry/forward-turn.ts';
import {deriveBodyMemoryBytes} from '../derive-body-memory.ts';
import {logRequestOutcome} from '../entry/log-request-outcome.ts';
import {mayOutlastStop} from '../entry/may-outlast-stop.ts';
import {readRequestBody} from '../entry/read-request-body.ts';
import {refuseRequest} from '../entry/refuse-request.ts';
import type {RequestContext, RequestOutcome} from '../entry/request-context.ts';
import {forwardWithinQuota} from '../entry/take-quota.ts';
import {Upstreams} from '../entry/upstreams.ts';
import type {GatewayContext} from '../gateway-context.ts';
import type {FleetService} from './fleet-service.ts';
import type {TurnsService} from './turns-service.ts';

/** Retry delay for callers of a daemon without a valid configuration. */
const UNCONFIGURED_RETRY_MS = 500;

/** Retry delay for requests that a draining daemon does not accept; other daemons accept them at once. */
const DRAINING_RETRY_MS = 0;

/** Serves callers: routes each request by the current routing document and forwards it. */
export class EntryService extends Service {
	readonly #context: GatewayContext;
	readonly #upstreams: Upstreams;
	readonly #server: IngressServer;
	readonly #bodyMemory: BodyMemory;
	#table: RouteTable | undefined;
	#turns!: TurnsService;
	#fleet!: FleetService;

	constructor(context: GatewayContext) {
		super();
		this.#context = context;
		this.#upstreams = new Upstreams(context);
		this.#bodyMemory = new BodyMemory(
			deriveBodyMemoryBytes(context.settings.resources),
		);
		context.explainRoute = (query) =>
			this.#table &&
			explainRoute(
				this.#upstreams.placement,
				this.#table,
				query,
				performance.now(),
			);
		const malformed = context.metrics.counter(
			'marjoramcove_malformed_requests_total',
			'Requests that could not be read, by code.',
		);
		this.#server = new IngressServer({
			address: context.settings.listen.entry!,
			onRequest: (exchange) => {
				void this.#serve(exchange);
			},
			onMalformed({code, status, remoteAddress}) {
				malformed.increment({code});
				context.logger.warn({
					event: 'request-malformed',
					code,
					status,
					remoteAddress,
				});
			},
		});
	}

	override get name() {
		return 'entry';
	}

	/** Number of requests whose response is not complete. */
	get activeRequests(): number {
		return this.#server.activeRequests;
	}

	/** Whether this daemon can serve callers. */
	get isReady(): boolean {
		return (
			this.#context.phase === 'ready' &&
			this.#table !== undefined &&
			this.#hasLease &&
			this.#context.accessGate.hasLease
		);
	}

	get #hasLease(): boolean {
		const {view, settings} = this.#context;
		return (
			performance.now() - view.confirmedAtMs <
			settings.timing.configurationLeaseMs
		);
	}

	override async start(kernel: ServiceDirectory) {
		this.#turns = kernel.get<TurnsService>('turns');
		this.#fleet = kernel.get<FleetService>('fleet');
		this.#context.view.onChange((topic) => {
			if (topic === 'document') {
				this.#applyDocument();
			}

			if (topic === 'servers') {
				this.#upstreams.updateServers();
			}

			if (topic === 'members') {
				this.#upstreams.updateDaemons();
			}

			this.#updatePhase();
		});
		// The view may have received a document before this service started.
		this.#applyDocument();
		await this.#server.start();
	}

	override async stop() {
		await this.#server.stop();
		await this.#upstreams.close();
	}

	/** The servers known to this daemon and their load. */
	get upstreams(): Upstreams {
		return this.#upstreams;
	}

	/**
	 * Stops accepting connections and answers the requests that have arrived.
	 *
	 * @param timeoutMs - longest wait for requests in progress.
	 * @returns whether all of them were answered in time.
	 */
	async finishRequests(timeoutMs: number): Promise<boolean> {
		return this.#server.drain(timeoutMs);
	}

	#applyDocument(): void {
		const {view, adapter, logger, accessGate} = this.#context;
		const {document} = view.topics;
		if (!document) {
			return;
		}

		try {
			this.#table = new RouteTable(adapter.decodeDocument(document.bytes));
			accessGate.adopt(this.#table);
			this.#context.quotas?.setTeams(this.#table.document.teams ?? []);
			this.#server.applyLimits(this.#table.document.limits);
			this.#fleet.reportFields.documentVersion = document.version;
			logger.info({
				event: 'document-applied',
				documentVersion: document.version,
				routes: this.#table.document.routes.length,
				...accessGate.counts,
			});
		} catch (error) {
			// Only valid documents are stored, so this daemon runs a different version than the leader.
			logger.error({
				event: 'document-not-applied',
				documentVersion: document.version,
				error: messageOf(error),
			});
		}

		view.releaseDocument();
	}

	#updatePhase(): void {
		const {view} = this.#context;
		const isComplete =
			this.#table !== undefined &&
			view.topics.servers !== undefined &&
			this.#turns.isReady;
		if (this.#context.phase === 'starting' && isComplete) {
			this.#context.phase = 'ready';
			this.#context.logger.info({event: 'daemon-ready'});
			void this.#fleet.reportNow();
		}
	}

	async #serve(exchange: CallerExchange): Promise<void> {
		const head = this.#context.adapter.headCodec.decodeRequest(
			exchange.headers,
		);
		if (this.#context.phase === 'draining') {
			exchange.closeAfterResponse();
		}

		let outcome: RequestOutcome;
		let request: RequestContext | undefined;
		try {
			const prepared = await this.#prepare(exchange, head);
			if ('outcome' in prepared) {
				outcome = prepared.outcome;
			} else {
				({request} = prepared);
				outcome = await forwardWithinQuota(
					this.#context,
					request,
					async (admitted) => this.#forward(admitted, prepared.table),
				);
			}
		} catch (error) {
			outcome = this.#failRequest(exchange, head, error);
		} finally {
			exchange.releaseBody();
		}

		this.#upstreams.queues?.abandon(exchange);

		logRequestOutcome(this.#context, {
			exchange,
			head,
			request,
			outcome,
			documentVersion: this.#table?.document.version,
		});
	}

	/** Finds the route and reads the body, or refuses the request. */
	async #prepare(
		exchange: CallerExchange,
		head: RequestHead,
	): Promise<
		{request: RequestContext; table: RouteTable} | {outcome: RequestOutcome}
	> {
		const refuse = (
			status: number,
			reason: string,
			message: string,
			retryAfterMs?: number,
		) => ({
			outcome: refuseRequest(
				this.#context,
				{exchange, head},
				{status, reason, message, retryAfterMs},
			),
		});
		await this.#context.accessGate.waitUntilSure();
		const table = this.#table;
		if (!table || !this.#hasLease) {
			return refuse(
				503,
				table ? 'configuration-lease-expired' : 'configuration-unknown',
				'This daemon does not know the configuration in force. The request has not run.',
				UNCONFIGURED_RETRY_MS,
			);
		}

		const {limits, version} = table.document;
		const headerSizeBytes = exchange.headers.reduce(
			(sum, [name, value]) => sum + name.length + value.length + 4,
			0,
		);
		if (headerSizeBytes > limits.headerSizeBytes) {
			exchange.closeAfterResponse();
			return refuse(431, 'head-too-large', 'The headers are too large.');
		}

		const route = exchange.target.startsWith('/')
			? table.findRoute(exchange.host, exchange.target)
			: undefined;
		if (!route) {
			return refuse(404, 'route-unknown', 'No route matches.');
		}

		if (route.keepsTurns && head.unreadableHeaders) {
			return refuse(
				400,
				'head-unreadable',
				`The turn cannot be read: ${head.unreadableHeaders.join(', ')}. It has not run.`,
			);
		}

		const access = admitCaller(this.#context, head, route);
		if ('status' in access) {
			const {status, reason, message, retryAfterMs} = access;
			return refuse(status, reason, message, retryAfterMs);
		}

		const timeLimitMs = Math.min(head.deadlineMs ?? Infinity, route.timeoutMs);
		const deadlineMs = exchange.receivedAtMs + timeLimitMs;
		const body = await readRequestBody(
			exchange,
			limits.bodySizeBytes,
			this.#bodyMemory,
		);
		if ('status' in body) {
			const {status, reason, message, retryAfterMs} = body;
			return refuse(status, reason, message, retryAfterMs);
		}

		if (mayOutlastStop(deadlineMs, this.#context.stopAtMs)) {
			exchange.closeAfterResponse();
			return refuse(
				503,
				'draining',
				'This daemon stops before the request may be complete. The request has not run.',
				DRAINING_RETRY_MS,
			);
		}

		return {
			table,
			request: {
				exchange,
				head,
				route,
				service: chooseService(route, Math.random()),
				body: body.bytes,
				deadlineMs,
				teamId: access.teamId,
				keyDigest: access.keyDigest,
				priority: access.priority ?? route.priority,
				documentVersion: version,
				progress: {},
				received: {},
			},
		};
	}

	async #forward(
		request: RequestContext,
		table: RouteTable,
	): Promise<RequestOutcome> {
		const {route, head} = request;
		const options = {upstreams: this.#upstreams, table, turns: this.#turns};
		if (route.kind !== 'stream') {
			return forwardPlain(this.#context, request, options);
		}

		const isCharged =
			head.programId !== undefined && head.budgetTokens !== undefined;
		const hasHistory = route.keepsTurns && head.previousTurnId !== undefined;
		if (isCharged || hasHistory) {
			return forwardTurn(this.#context, request, options);
		}

		return forwardStream(this.#context, request, {
			...options,
			reader: new EventStreamReader(),
			async beforeEnd() {
				// A stream that belongs to no program has nothing to settle.
			},
		});
	}

	#failRequest(
		exchange: CallerExchange,
		head: RequestHead,
		error: unknown,
	): RequestOutcome {
		this.#context.logger.error({
			event: 'request-failed',
			request: head.requestId,
			reason: reasonOf(error),
			error: messageOf(error),
		});
		return refuseRequest(
			this.#context,
			{exchange, head},
			{
				status: 502,
				reason: reasonOf(error),
				message: 'The request failed. It may have run.',
			},
		);
	}
}
