import {createServer, type Server} from 'node:http';
import type {Socket} from 'node:net';
import type {CallerLimits} from '@marjoramcove/routes';
import {CallerExchange} from './caller-exchange.ts';
import {splitAddress} from './split-address.ts';

/** A request that could not be read. */
export type MalformedRequest = {
	/** Code of the parser or of the time limit. */
	code: string;
	status: number;
	remoteAddress: string | undefined;
};

export type IngressServerOptions = {
	/** Host and port to listen on. */
	address: string;
	onRequest: (exchange: CallerExchange) => void;
	/** Called for each request that could not be read; it is answered already. */
	onMalformed?: (request: MalformedRequest) => void;
};

/** Interval at which connections are checked against the time limits. */
const CONNECTION_CHECK_MS = 500;

/** Largest head that the parser takes; the limit of the routing document is checked on top. */
const PARSER_HEADER_BYTES = 256 * 1024;

/** Connections that may wait to be accepted. */
const LISTEN_BACKLOG = 511;

/** Time after which a connection that sent nothing whole is probed by the kernel. */
const KEEP_ALIVE_PROBE_MS = 5000;

const STATUS_BY_CODE: Readonly<Record<string, number>> = {
	ERR_HTTP_REQUEST_TIMEOUT: 408,
	HPE_HEADER_OVERFLOW: 431,
};

const REASONS: Readonly<Record<number, string>> = {
	400: 'Bad Request',
	408: 'Request Timeout',
	431: 'Request Header Fields Too Large',
};

/**
 * Listens for callers and hands each well-formed request over.
 *
 * @example
 * ```ts
 * const server = new IngressServer({address: '127.0.0.1:0', onRequest: (exchange) => exchange.answer(204, [], Buffer.alloc(0))});
 * const port = await server.start();
 * await server.stop();
 * ```
 */
export class IngressServer {
	readonly #options: IngressServerOptions;
	readonly #server: Server;
	readonly #open = new Set<CallerExchange>();
	/** Answers under way on a connection. */
	readonly #activeBySocket = new WeakMap<Socket, number>();

	constructor(options: IngressServerOptions) {
		this.#options = options;
		this.#server = createServer(
			{
				connectionsCheckingInterval: CONNECTION_CHECK_MS,
				insecureHTTPParser: false,
				joinDuplicateHeaders: false,
				keepAlive: true,
				keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
				maxHeaderSize: PARSER_HEADER_BYTES,
				noDelay: true,
				requireHostHeader: true,
			},
			(request, response) => {
				const {socket} = request;
				const coding = request.headers['transfer-encoding'];
				if (coding !== undefined && coding.toLowerCase() !== 'chunked') {
					// The parser does not know where such a body ends.
					this.#refuseMalformed(
						Object.assign(new Error(`The transfer coding is ${coding}.`), {
							code: 'UNKNOWN_TRANSFER_CODING',
						}),
						socket,
					);
					return;
				}

				const exchange = new CallerExchange(request, response);
				this.#open.add(exchange);
				this.#countActive(socket, 1);
				response.once('close', () => {
					this.#open.delete(exchange);
					this.#countActive(socket, -1);
				});
				this.#options.onRequest(exchange);
			},
		);
		this.#server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
			this.#refuseMalformed(error, socket as Socket);
		});
	}

	/** Requests whose answer is not complete. */
	get activeRequests(): number {
		return this.#open.size;
	}

	/** Listens and returns the port. */
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

	/** Takes the time limits of a routing document. */
	applyLimits({headerTimeoutMs, idleTimeoutMs}: CallerLimits): void {
		this.#server.headersTimeout = headerTimeoutMs;
		// A body may take as long as a connection may be idle.
		this.#server.requestTimeout = headerTimeoutMs + idleTimeoutMs;
		this.#server.keepAliveTimeout = idleTimeoutMs;
	}

	/** Closes the connections on which no request is under way. */
	closeIdleConnections(): void {
		this.#server.closeIdleConnections();
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
		const status = STATUS_BY_CODE[code] ?? 400;
		if (code !== 'ECONNRESET') {
			const {remoteAddress} = socket;
			this.#options.onMalformed?.({code, status, remoteAddress});
		}

		if (!socket.writable || code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		if ((this.#activeBySocket.get(socket) ?? 0) > 0) {
			// An answer to an earlier request is under way, and bytes of ours would mix with it.
			this.#endWhenAnswered(socket);
			return;
		}

		socket.end(
			`HTTP/1.1 ${status} ${REASONS[status]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
		);
	}

	#endWhenAnswered(socket: Socket): void {
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
