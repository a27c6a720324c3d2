import {createServer, type Server} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {CallerLimits} from '@marjoramcove/routes';
import {CallerExchange} from './caller-exchange.ts';
import {splitAddress} from './split-address.ts';

/** A request that could not be parsed, or whose head did not arrive in time. */
export type MalformedRequest = {
	/** Error code of the parser or of the timeout. */
	code: string;
	status: number;
	remoteAddress: string | undefined;
};

export type IngressServerOptions = {
	/** Host and port to listen on. */
	address: string;
	onRequest: (exchange: CallerExchange) => void;
	/** Called for each malformed request, which the server itself answers. */
	onMalformed?: (request: MalformedRequest) => void;
};

/** Interval at which connections are checked for timeouts. */
const CONNECTION_CHECK_MS = 500;

/** Interval at which a draining server closes the connections that have become idle. */
const DRAIN_CHECK_MS = 50;

/** Maximum size of a request head in the parser; the limit of the routing document is checked in addition. */
const MAX_PARSER_HEADER_BYTES = 256 * 1024;

/** Maximum number of connections that wait to be accepted. */
const LISTEN_BACKLOG = 511;

/** Idle time after which the kernel sends TCP keep-alive probes. */
const TCP_KEEP_ALIVE_DELAY_MS = 5000;

const STATUS_BY_ERROR_CODE: Readonly<Record<string, number>> = {
	ERR_HTTP_REQUEST_TIMEOUT: 408,
	HPE_HEADER_OVERFLOW: 431,
};

const REASON_PHRASES: Readonly<Record<number, string>> = {
	400: 'Bad Request',
	408: 'Request Timeout',
	431: 'Request Header Fields Too Large',
};

/**
 * HTTP server for callers that passes each well-formed request to `onRequest`.
 *
 * @example
 * ```ts
 * const server = new IngressServer({address: '127.0.0.1:0', onRequest: (exchange) => exchange.respond(204, [], Buffer.alloc(0))});
 * const port = await server.start();
 * await server.drain(2000);
 * await server.stop();
 * ```
 */
export class IngressServer {
	readonly #options: IngressServerOptions;
	readonly #server: Server;
	readonly #openExchanges = new Set<CallerExchange>();
	/** Number of requests in progress on each connection. */
	readonly #activeBySocket = new WeakMap<Socket, number>();

	constructor(options: IngressServerOptions) {
		this.#options = options;
		this.#server = createServer(
			{
				connectionsCheckingInterval: CONNECTION_CHECK_MS,
				insecureHTTPParser: false,
				joinDuplicateHeaders: false,
				keepAlive: true,
				keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS,
				maxHeaderSize: MAX_PARSER_HEADER_BYTES,
				noDelay: true,
				requireHostHeader: true,
			},
			(request, response) => {
				const {socket} = request;
				const coding = request.headers['transfer-encoding'];
				if (coding !== undefined && coding.toLowerCase() !== 'chunked') {
					// The parser cannot determine the end of such a body.
					this.#refuseMalformed(
						Object.assign(new Error(`The transfer coding is ${coding}.`), {
							code: 'UNKNOWN_TRANSFER_CODING',
						}),
						socket,
					);
					return;
				}

				const exchange = new CallerExchange(request, response);
				this.#openExchanges.add(exchange);
				this.#countActive(socket, 1);
				response.once('close', () => {
					this.#openExchanges.delete(exchange);
					this.#countActive(socket, -1);
				});
				this.#options.onRequest(exchange);
			},
		);
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			this.#refuseMalformed(error, socket as Socket);
		});
	}

	/** Number of requests whose response is not complete. */
	get activeRequests(): number {
		return this.#openExchanges.size;
	}

	/** Starts listening and returns the port. */
	async start(): Promise<number> {
		const {host, port} = splitAddress(this.#options.address);
		await new Promise<void>((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen({host, port, backlog: LISTEN_BACKLOG}, () => {
				this.#server.off('error', reject);
				resolve();
			});
		});
		const address = this.#server.address();
		return typeof address === 'object' && address ? address.port : port;
	}

	/** Applies the timeouts of a routing document. */
	applyLimits({headerTimeoutMs, idleTimeoutMs}: CallerLimits): void {
		this.#server.headersTimeout = headerTimeoutMs;
		// The body may take up to the idle timeout of a connection.
		this.#server.requestTimeout = headerTimeoutMs + idleTimeoutMs;
		this.#server.keepAliveTimeout = idleTimeoutMs;
	}

	/**
	 * Stops listening, answers the requests that have arrived, and closes each connection once it is idle.
	 *
	 * @param timeoutMs - longest wait for requests in progress.
	 * @returns whether all connections ended in time.
	 */
	async drain(timeoutMs: number): Promise<boolean> {
		const closed = new Promise<boolean>((resolve) => {
			this.#server.close(() => {
				resolve(true);
			});
		});
		const timer = setInterval(() => {
			this.#server.closeIdleConnections();
		}, DRAIN_CHECK_MS);
		const abort = new AbortController();
		try {
			return await Promise.race([
				closed,
				sleep(timeoutMs, false, {signal: abort.signal}),
			]);
		} finally {
			clearInterval(timer);
			abort.abort();
		}
	}

	/** Stops listening and closes all connections. */
	async stop(): Promise<void> {
		await new Promise<void>((resolve) => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeAllConnections();
		});
	}

	#countActive(socket: Socket, change: number): void {
		this.#activeBySocket.set(
			socket,
			(this.#activeBySocket.get(socket) ?? 0) + change,
		);
	}

	#refuseMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
		const code = error.code ?? 'unknown';
		const status = STATUS_BY_ERROR_CODE[code] ?? 400;
		if (code !== 'ECONNRESET') {
			const {remoteAddress} = socket;
			this.#options.onMalformed?.({code, status, remoteAddress});
		}

		if (!socket.writable || code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		if ((this.#activeBySocket.get(socket) ?? 0) > 0) {
			// A response to an earlier request is in progress; writing to the socket would corrupt it.
			this.#endWhenIdle(socket);
			return;
		}

		socket.end(
			`HTTP/1.1 ${status} ${REASON_PHRASES[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
		);
	}

	#endWhenIdle(socket: Socket): void {
		const timer = setInterval(() => {
			if ((this.#activeBySocket.get(socket) ?? 0) === 0) {
				socket.end();
			}
		}, CONNECTION_CHECK_MS);
		socket.once('close', () => {
			clearInterval(timer);
		});
	}
}
