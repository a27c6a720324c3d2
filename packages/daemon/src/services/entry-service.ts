import {messageOf, reasonOf} from '@marjoramcove/errors';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {Service, type ServiceDirectory} from '@marjoramcove/kernel';
import polka from 'polka';
import {type DaemonContext, createRefusedError} from '../daemon-context.ts';
import {createCompletionRoute, createToolRoute} from '../entry/call-routes.ts';
import {EntryCore} from '../entry/entry-core.ts';
import {forwardedHeader, RequestForwarder} from '../entry/forward-request.ts';
import {
	type Handler,
	headerOf,
	type HttpRequest,
	MAX_HEADER_FIELDS,
	readBody,
	refuseTruncatedHead,
	sendError,
	sendJson,
} from '../entry/http-responses.ts';
import * as operator from '../entry/operator-routes.ts';
import * as programs from '../entry/program-routes.ts';
import type {ConfigurationService} from './configuration-service.ts';
import type {GroupClientService} from './group-client-service.ts';
import type {PeersService} from './peers-service.ts';
import type {ReplicationService} from './replication-service.ts';
import type {UpstreamsService} from './upstreams-service.ts';

/** HTTP API for callers and operators. */
export class EntryService extends Service {
	readonly #context: DaemonContext;
	readonly #drain: () => void;
	#core!: EntryCore;
	#forwarder!: RequestForwarder;
	#replication!: ReplicationService;
	#server: Server | undefined;
	#activeRequestCount = 0;

	constructor(context: DaemonContext, drain: () => void) {
		super();
		this.#context = context;
		this.#drain = drain;
	}

	override get name() {
		return 'entry';
	}

	/** Number of requests in progress. */
	get activeRequests(): number {
		return this.#activeRequestCount;
	}

	override async start(kernel: ServiceDirectory) {
		this.#core = new EntryCore({
			context: this.#context,
			configuration: kernel.get<ConfigurationService>('configuration'),
			groups: kernel.get<GroupClientService>('group-client'),
			peers: kernel.get<PeersService>('peers'),
			upstreams: kernel.get<UpstreamsService>('upstreams'),
		});
		this.#replication = kernel.get<ReplicationService>('replication');
		this.#forwarder = new RequestForwarder(this.#core);
		const server = createServer();
		server.maxConnections = this.#context.settings.limits.openConnections;
		server.requestTimeout = 60_000;
		server.maxHeadersCount = MAX_HEADER_FIELDS;
		const app = polka({
			server,
			onError(error, _request, response) {
				sendError(response, error);
			},
			onNoMatch(_request, response) {
				sendError(
					response,
					createRefusedError(
						'path-unknown',
						'No route has this method and path.',
						'See section 11 of docs/design.md for the routes.',
					),
				);
			},
		});
		app.use(refuseTruncatedHead);
		this.#addRoutes(app);
		const {host, httpPort} = this.#context.settings.listen;
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			app.listen(httpPort, host, () => {
				server.off('error', reject);
				resolve();
			});
		});
		this.#server = server;
	}

	override async stop() {
		const server = this.#server;
		if (server) {
			await new Promise<void>((resolve) => {
				server.close(() => {
					resolve();
				});
				server.closeAllConnections();
			});
		}

		await this.#forwarder.close();
	}

	/** Waits until no request is in progress. */
	override async drain() {
		while (this.#activeRequestCount > 0) {
			await sleep(50);
		}
	}

	#addRoutes(app: polka.Polka): void {
		const core = this.#core;
		const forwardable = (handler: Handler) => this.#wrap(handler, true);
		const local = (handler: Handler) => this.#wrap(handler, false);
		app
			.get(
				'/livez',
				local(async (_request, response) => {
					sendJson(response, 200, {status: 'alive'});
				}),
			)
			.get(
				'/readyz',
				local(async (_request, response) => {
					this.#sendReadiness(response);
				}),
			)
			.get(
				'/metrics',
				local(async (_request, response) => {
					response.writeHead(200, {
						'content-type': 'text/plain; version=0.0.4',
					});
					response.end(this.#context.metrics.render());
				}),
			)
			.get('/v1/addresses', local(programs.createAddressesRoute(core)))
			.post('/v1/chat/completions', forwardable(createCompletionRoute(core)))
			.post('/v1/tools/:service/:operation', forwardable(createToolRoute(core)))
			.post('/v1/programs', forwardable(programs.createOpenRoute(core)))
			.get('/v1/programs/:id', forwardable(programs.createDescribeRoute(core)))
			.get(
				'/v1/programs/:id/history',
				forwardable(programs.createHistoryRoute(core)),
			)
			.post(
				'/v1/programs/:id/pause',
				forwardable(programs.createPauseRoute(core)),
			)
			.post('/v1/programs/:id/end', forwardable(programs.createEndRoute(core)))
			.get(
				'/v1/programs/:id/requests/:requestId',
				forwardable(programs.createRequestRoute(core)),
			);
		this.#addOperatorRoutes(app, forwardable, local);
	}

	#addOperatorRoutes(
		app: polka.Polka,
		forwardable: (handler: Handler) => polka.Middleware,
		local: (handler: Handler) => polka.Middleware,
	): void {
		const core = this.#core;
		app
			.post(
				'/v1/operator/changes',
				forwardable(operator.createChangesRoute(core)),
			)
			.get('/v1/operator/resources', local(operator.createResourcesRoute(core)))
			.get('/v1/operator/programs', local(operator.createProgramsRoute(core)))
			.get('/v1/operator/upstreams', local(operator.createUpstreamsRoute(core)))
			.get('/v1/operator/daemons', local(operator.createDaemonsRoute(core)))
			.get(
				'/v1/operator/replication',
				local(operator.createReplicationRoute(core)),
			)
			.post(
				'/v1/operator/replicas/replace',
				forwardable(operator.createReplaceReplicaRoute(core)),
			)
			.post(
				'/v1/operator/drain',
				local(operator.createDrainRoute(core, this.#drain)),
			);
	}

	#sendReadiness(response: ServerResponse): void {
		const {phase} = this.#context;
		const isReady =
			phase === 'ready' &&
			this.#core.configuration.hasLease &&
			this.#replication.isReady;
		sendJson(response, isReady ? 200 : 503, {
			status: isReady ? 'ready' : 'not-ready',
			phase,
			hasLease: this.#core.configuration.hasLease,
			diskTakesWrites: this.#replication.isReady,
		});
	}

	/** Wraps a handler: counts the request, reads its body, forwards it during a drain if allowed, and sends errors. */
	#wrap(handler: Handler, isForwardable: boolean): polka.Middleware {
		return (async (request: HttpRequest, response: ServerResponse) => {
			this.#activeRequestCount++;
			const startedMs = performance.now();
			try {
				request.rawBody = await readBody(
					request,
					this.#context.settings.limits.requestSizeBytes,
				);
				await (isForwardable && this.#shouldForward(request)
					? this.#forwarder.forward(request, response)
					: handler(request, response));
			} catch (error) {
				this.#handleError(request, response, error);
			} finally {
				this.#activeRequestCount--;
				this.#context.steps.record(performance.now() - startedMs, {
					step: 'request',
				});
			}
		}) as never;
	}

	#shouldForward(request: HttpRequest): boolean {
		return (
			this.#context.phase === 'draining' &&
			headerOf(request, forwardedHeader) === undefined
		);
	}

	#handleError(
		request: HttpRequest,
		response: ServerResponse,
		error: unknown,
	): void {
		const reason = reasonOf(error);
		this.#context.refusals.increment({reason});
		const fields = {
			event: 'request-failed',
			method: request.method,
			path: request.path,
			reason,
			error: messageOf(error),
		};
		if (reason === 'internal-error') {
			const {stack} = error as Error;
			this.#context.logger.error({...fields, stack});
		} else {
			this.#context.logger.debug(fields);
		}

		sendError(response, error);
		if (!response.writableEnded) {
			response.destroy();
		}
	}
}
