import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {AnyRouter} from '@trpc/server';
import {getWSConnectionHandler} from '@trpc/server/adapters/ws';
import {type WebSocket, WebSocketServer} from 'ws';
import {PeerConnection, type PeerConnectionEvent} from './peer-connection.ts';
import type {PeerContext, PostProcedure} from './peer-router.ts';

/** Options of a {@link PeerServer}. */
export type PeerServerOptions = {
	listen: {host: string; port: number};
	router: AnyRouter;
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
	readonly #http: Server;
	readonly #sockets: WebSocketServer;

	constructor(options: PeerServerOptions) {
		this.#options = options;
		this.#http = createServer((_request, response) => {
			response.writeHead(426).end();
		});
		this.#sockets = new WebSocketServer({
			server: this.#http,
			maxPayload: (options.maxMessageBytes ?? 16 * 1024 * 1024) + 65_536,
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
		const silenceMs = options.silenceMs ?? 3000;
		const connection = new PeerConnection(client, request.socket, {
			maxBufferedBytes: options.maxBufferedBytes ?? 64 * 1024 * 1024,
			maxBatchBytes: 64 * 1024,
			posts: options.posts ?? {},
			onEvent: options.onEvent,
		});
		const handleConnection = getWSConnectionHandler({
			wss: this.#sockets,
			router: options.router,
			maxBatchSize: options.maxBatchSize ?? 10_000,
			createContext: (): PeerContext => ({
				waitUntilWritable: async () =>
					this.#waitUntilWritable(client, connection),
			}),
			keepAlive: {enabled: true, pingMs: silenceMs, pongWaitMs: silenceMs},
			experimental_encoder: connection,
		});
		handleConnection(client, request);
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
