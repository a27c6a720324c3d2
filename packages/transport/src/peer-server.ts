import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {AnyRouter} from '@trpc/server';
import {getWSConnectionHandler} from '@trpc/server/adapters/ws';
import {type WebSocket, WebSocketServer} from 'ws';
import {PeerConnection, type PeerConnectionEvent} from './peer-connection.ts';
import {DEFAULT_MAX_MESSAGE_BYTES} from './peer-link.ts';
import type {PeerContext, PostProcedure, Procedures} from './peer-router.ts';

/** Options of a {@link PeerServer}. */
export type PeerServerOptions = {
	listen: {host: string; port: number};
	router: AnyRouter;
	/** Procedures by path; those with one answer are then run without the router. */
	calls?: Procedures;
	/** Procedures of one-way messages by path. */
	posts?: Record<string, PostProcedure>;
	maxMessageBytes?: number;
	maxBatchSize?: number;
	/** Unsent bytes above which the streams to a slow peer pause. */
	highWaterBytes?: number;
	/** Unsent bytes above which the link to a slow peer is closed. */
	maxBufferedBytes?: number;
	/** Silence of a peer after which its link is closed. */
	silenceMs?: number;
	onEvent?: (event: PeerConnectionEvent) => void;
};

/**
 * Serves a router to other daemons over WebSocket.
 *
 * @example
 * ```ts
 * const server = new PeerServer({listen: {host: '127.0.0.1', port: 0}, router});
 * const port = await server.start();
 * await server.stop();
 * ```
 */
export class PeerServer {
	readonly #options: PeerServerOptions;
	readonly #maxMessageBytes: number;
	readonly #http: Server;
	readonly #sockets: WebSocketServer;

	constructor(options: PeerServerOptions) {
		this.#options = options;
		this.#maxMessageBytes =
			options.maxMessageBytes ?? DEFAULT_MAX_MESSAGE_BYTES;
		this.#http = createServer((_request, response) => {
			response.writeHead(426).end();
		});
		this.#sockets = new WebSocketServer({
			server: this.#http,
			maxPayload: this.#maxMessageBytes + 65_536,
			perMessageDeflate: false,
		});
	}

	/** Listens and returns the port. */
	async start(): Promise<number> {
		this.#sockets.on('connection', (client, request) => {
			this.#handleConnection(client, request);
		});
		const {host, port} = this.#options.listen;
		await new Promise<void>((resolve, reject) => {
			this.#http.once('error', reject);
			this.#sockets.once('error', reject);
			this.#http.listen(port, host, () => {
				this.#http.off('error', reject);
				resolve();
			});
		});
		return (this.#http.address() as AddressInfo).port;
	}

	/** Closes all links and stops listening. */
	async stop(): Promise<void> {
		for (const client of this.#sockets.clients) {
			client.terminate();
		}

		await new Promise<void>((resolve) => {
			this.#sockets.close(() => {
				this.#http.close(() => {
					resolve();
				});
				this.#http.closeAllConnections();
			});
		});
	}

	#handleConnection(client: WebSocket, request: IncomingMessage): void {
		const options = this.#options;
		const maxBatchSize = options.maxBatchSize ?? 10_000;
		const context: PeerContext = {
			waitUntilWritable: async () =>
				this.#waitUntilWritable(client, connection),
		};
		const connection = new PeerConnection(client, request.socket, {
			maxBufferedBytes: options.maxBufferedBytes ?? 64 * 1024 * 1024,
			maxMessageBytes: this.#maxMessageBytes,
			maxBatchBytes: 64 * 1024,
			posts: options.posts ?? {},
			calls: options.calls ?? {},
			maxBatchSize,
			context,
			onEvent: options.onEvent,
		});
		const handleConnection = getWSConnectionHandler({
			wss: this.#sockets,
			router: options.router,
			maxBatchSize,
			createContext: () => context,
			experimental_encoder: connection,
		});
		handleConnection(client, request);
		this.#receiveBefore(client, connection);
		this.#watch(client, connection, options.silenceMs ?? 3000);
	}

	/** Passes received data to the connection first, and to tRPC only what the connection leaves. */
	#receiveBefore(client: WebSocket, connection: PeerConnection): void {
		const listeners = client.listeners('message');
		client.removeAllListeners('message');
		client.on('message', (data, isBinary) => {
			connection.receive(data, isBinary, () => {
				for (const listener of listeners) {
					listener.call(client, data, isBinary);
				}
			});
		});
	}

	/**
	 * Pings a client that is silent and closes the link of one that does not answer. One timer for each
	 * silence: the keep-alive of tRPC starts a timer for each message.
	 */
	#watch(
		client: WebSocket,
		connection: PeerConnection,
		silenceMs: number,
	): void {
		let timer: NodeJS.Timeout;
		let pingSentMs = Number.NEGATIVE_INFINITY;
		const check = () => {
			const nowMs = performance.now();
			const {lastReceivedMs} = connection;
			const isPinged = pingSentMs > lastReceivedMs;
			const dueMs = (isPinged ? pingSentMs : lastReceivedMs) + silenceMs;
			if (nowMs < dueMs) {
				timer = setTimeout(check, dueMs - nowMs);
			} else if (isPinged) {
				client.terminate();
			} else {
				pingSentMs = nowMs;
				client.send('PING');
				timer = setTimeout(check, silenceMs);
			}
		};

		timer = setTimeout(check, silenceMs);
		client.once('close', () => {
			clearTimeout(timer);
		});
	}

	async #waitUntilWritable(
		client: WebSocket,
		connection: PeerConnection,
	): Promise<void> {
		const highWaterBytes = this.#options.highWaterBytes ?? 256 * 1024;
		while (
			client.readyState === client.OPEN &&
			connection.unsentBytes > highWaterBytes
		) {
			await new Promise((resolve) => {
				setTimeout(resolve, 10);
			});
		}
	}
}
