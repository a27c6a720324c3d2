import {createServer, type IncomingMessage, type Server} from 'node:http';
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

/** Size of the shortest field of a head as limits count it: a name of one character, a colon, a space and a line end. */
const MIN_FIELD_BYTES = 5;

/** Size limit of heads for which the parser is set up before there is a routing document. */
const INITIAL_HEADER_SIZE_BYTES = 16_384;

/** Maximum number of connections that wait to be accepted. */
const LISTEN_BACKLOG = 511;

/** Idle time after which the kernel sends TCP keep-alive probes. */
const TCP_KEEP_ALIVE_DELAY_MS = 5000;

const STATUS_BY_ERROR_CODE: Readonly<Record<string, number>> = {
	ERR_HTTP_REQUEST_TIMEOUT: 408,
	HPE_HEADER_OVERFLOW: 431,
	OUTDATED_FIELD_LIMIT: 503,
	TOO_MANY_FIELDS: 431,
};

const REASON_PHRASES: Readonly<Record<number, string>> = {
	400: 'Bad Request',
	408: 'Request Timeout',
	431: 'Request Header Fields Too Large',
	503: 'Service Unavailable',
};

/**
 * Number of fields after which the parser drops the others of a head without an error; a head within the size
 * limit has fewer.
 */
const countParsedFields = (headerSizeBytes: number): number =>
	Math.floor(headerSizeBytes / MIN_FIELD_BYTES) + 1;

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
	/** Number of fields that the parser of each connection keeps of a head; it is fixed when the connection opens. */
	readonly #parsedFieldsBySocket = new WeakMap<Socket, number>();

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
				const defect = this.#findHeadDefect(request);
				if (defect) {
					this.#refuseMalformed(defect, socket);
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
		this.#server.maxHeadersCount = countParsedFields(INITIAL_HEADER_SIZE_BYTES);
		this.#server.prependListener('connection', (socket: Socket) => {
			this.#parsedFieldsBySocket.set(socket, this.#server.maxHeadersCount!);
		});
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

	/** Applies the limits of a routing document. */
	applyLimits({
		headerSizeBytes,
		headerTimeoutMs,
		idleTimeoutMs,
	}: CallerLimits): void {
		this.#server.maxHeadersCount = countParsedFields(headerSizeBytes);
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

	/** Finds what makes a parsed head unusable: fields that the parser dropped, or a body without a known end. */
	#findHeadDefect({
		rawHeaders,
		headers,
		socket,
	}: IncomingMessage): NodeJS.ErrnoException | undefined {
		const parsedFields = this.#parsedFieldsBySocket.get(socket) ?? Infinity;
		if (rawHeaders.length >= parsedFields * 2) {
			// The limit may have been raised since the connection opened; a new one then takes the head.
			const isOutdated = parsedFields < this.#server.maxHeadersCount!;
			return Object.assign(
				new Error(`The head has more than ${parsedFields - 1} fields.`),
				{code: isOutdated ? 'OUTDATED_FIELD_LIMIT' : 'TOO_MANY_FIELDS'},
			);
		}

		const coding = headers['transfer-encoding'];
		return coding !== undefined && coding.toLowerCase() !== 'chunked'
			? Object.assign(new Error(`The transfer coding is ${coding}.`), {
					code: 'UNKNOWN_TRANSFER_CODING',
				})
			: undefined;
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
