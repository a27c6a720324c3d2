import {createServer, type IncomingMessage, type Server} from 'node:http';
import {type Socket, type AddressInfo} from 'node:net';
import type {AnyRouter} from '@trpc/server';
import {getWSConnectionHandler} from '@trpc/server/adapters/ws';
import {type WebSocket, WebSocketServer} from 'ws';
import type {PeerContext} from './peer-router.ts';

export type PeerServerOptions = {
	listen: {host: string; port: number};
	router: AnyRouter;
	maxMessageBytes?: number;
	maxBatchSize?: number;
	/** Unsent bytes above which streams to a slow peer pause. */
	highWaterBytes?: number;
	/** Unsent bytes above which the link to a slow peer is closed. */
	maxBufferedBytes?: number;
	/** Silence of a peer after which its link is closed. */
	silenceMs?: number;
	onEvent?: (event: {type: 'slow-peer-closed'; unsentBytes: number}) => void;
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
		const silenceMs = this.#options.silenceMs ?? 3000;
		const serve = getWSConnectionHandler({
			wss: this.#sockets,
			router: this.#options.router,
			maxBatchSize: this.#options.maxBatchSize ?? 10_000,
			createContext: ({res}): PeerContext => ({
				writable: async () => this.#waitUntilWritable(res),
			}),
			keepAlive: {enabled: true, pingMs: silenceMs, pongWaitMs: silenceMs},
		});
		this.#sockets.on('connection', (client, request) => {
			this.#bound(client, request);
			serve(client, request);
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

	/** Joins the frames of one event-loop turn into one write and closes links that do not read. */
	#bound(client: WebSocket, request: IncomingMessage): void {
		const {socket}: {socket: Socket} = request;
		const limitBytes = this.#options.maxBufferedBytes ?? 64 * 1024 * 1024;
		const send = client.send.bind(client) as (data: string | Buffer) => void;
		let corked = false;
		client.send = (data: unknown) => {
			if (client.bufferedAmount > limitBytes) {
				this.#options.onEvent?.({
					type: 'slow-peer-closed',
					unsentBytes: client.bufferedAmount,
				});
				client.terminate();
				return;
			}

			if (!corked) {
				corked = true;
				socket.cork();
				setImmediate(() => {
					corked = false;
					socket.uncork();
				});
			}

			send(data as string);
		};
	}

	async #waitUntilWritable(client: WebSocket): Promise<void> {
		const highWaterBytes = this.#options.highWaterBytes ?? 256 * 1024;
		while (
			client.readyState === client.OPEN &&
			client.bufferedAmount > highWaterBytes
		) {
			await new Promise((resolve) => {
				setTimeout(resolve, 10);
			});
		}
	}
}
