import {connect, createServer, type Server, type Socket} from 'node:net';
import {DelayedQueue} from './delayed-queue.ts';
import {listenOnLoopback} from './listen-on-loopback.ts';

/** Directions of a proxied connection. */
export type ProxyDirection = 'to-server' | 'to-client' | 'both';

/** A proxied connection, with the directions whose bytes are dropped. */
type Connection = {
	client: Socket;
	server: Socket;
	silenced: Set<ProxyDirection>;
};

/**
 * TCP proxy that injects faults at run time: delays, closed or reset connections, and silenced
 * directions, on existing connections only or on new ones too.
 *
 * A silenced direction keeps its connection open and drops the bytes, so neither peer sees an error.
 *
 * @example
 * ```ts
 * const proxy = await new TcpProxy('127.0.0.1:8201').start();
 * proxy.silence('to-server', {newConnections: true});
 * proxy.heal();
 * ```
 */
export class TcpProxy {
	/** Bytes forwarded in each direction, for tests. */
	readonly forwardedBytes = {'to-server': 0, 'to-client': 0};
	/** Bytes received from both ends, including those that are delayed or dropped, for tests. */
	receivedBytes = 0;
	readonly #target: {host: string; port: number};
	readonly #connections = new Set<Connection>();
	#server: Server | undefined;
	#port = 0;
	#delayMs = 0;
	#silencedOnNew = new Set<ProxyDirection>();
	#refusesNew = false;

	constructor(targetAddress: string) {
		const [host, port] = targetAddress.split(':');
		this.#target = {host: host!, port: Number(port)};
	}

	get address(): string {
		return `127.0.0.1:${this.#port}`;
	}

	get connectionCount(): number {
		return this.#connections.size;
	}

	async start(): Promise<this> {
		const server = createServer((client) => {
			this.#accept(client);
		});
		this.#port = await listenOnLoopback(server, this.#port);
		this.#server = server;
		return this;
	}

	async stop(): Promise<void> {
		const server = this.#server;
		this.#server = undefined;
		this.cut();
		if (server) {
			await new Promise((resolve) => {
				server.close(resolve);
			});
		}
	}

	/** Delays what is received from now on, in its order; 0 ends the delay. */
	delay(delayMs: number): void {
		this.#delayMs = delayMs;
	}

	/** Closes all connections. */
	cut(): void {
		for (const {client, server} of this.#connections) {
			client.destroy();
			server.destroy();
		}
	}

	/** Resets all connections. */
	reset(): void {
		for (const {client, server} of this.#connections) {
			client.resetAndDestroy();
			server.resetAndDestroy();
		}
	}

	/** Closes new connections at once. */
	refuseNewConnections(): void {
		this.#refusesNew = true;
	}

	/** Drops the bytes of one or both directions on existing connections, and optionally on new ones. */
	silence(
		direction: ProxyDirection,
		{newConnections}: {newConnections: boolean},
	): void {
		for (const connection of this.#connections) {
			connection.silenced.add(direction);
		}

		if (newConnections) {
			this.#silencedOnNew.add(direction);
		}
	}

	/** Ends all faults; connections with a silenced direction are reset, as their bytes are lost. */
	heal(): void {
		this.#silencedOnNew = new Set();
		this.#refusesNew = false;
		this.#delayMs = 0;
		for (const connection of this.#connections) {
			if (connection.silenced.size > 0) {
				connection.client.resetAndDestroy();
				connection.server.resetAndDestroy();
			}
		}
	}

	#accept(client: Socket): void {
		if (this.#refusesNew) {
			client.destroy();
			return;
		}

		const server = connect(this.#target);
		const connection: Connection = {
			client,
			server,
			silenced: new Set(this.#silencedOnNew),
		};
		this.#connections.add(connection);
		for (const [socket, peer] of [
			[client, server],
			[server, client],
		] as const) {
			socket.setNoDelay(true);
			socket.on('error', () => {
				peer.resetAndDestroy();
				socket.destroy();
			});
			socket.on('end', () => {
				// A reset that was noticed together with the last bytes is reported as an end without a peer.
				if (socket.remoteAddress === undefined) {
					peer.resetAndDestroy();
				}
			});
			socket.on('close', () => {
				// The peer may still have delayed bytes to get.
				if (peer.destroyed || connection.silenced.size > 0) {
					this.#connections.delete(connection);
				}
			});
		}

		this.#forward(connection, 'to-server');
		this.#forward(connection, 'to-client');
	}

	#forward(connection: Connection, direction: 'to-server' | 'to-client'): void {
		const [from, to] =
			direction === 'to-server'
				? [connection.client, connection.server]
				: [connection.server, connection.client];
		const isSilenced = () =>
			connection.silenced.has(direction) || connection.silenced.has('both');
		const queue = new DelayedQueue();
		const forward = (bytes: Uint8Array) => {
			if (isSilenced() || to.destroyed) {
				return;
			}

			this.forwardedBytes[direction] += bytes.length;
			if (!to.write(bytes)) {
				from.pause();
				to.once('drain', () => from.resume());
			}
		};

		from.on('data', (bytes) => {
			this.receivedBytes += bytes.length;
			queue.add(() => {
				forward(bytes);
			}, this.#delayMs);
		});
		from.on('end', () => {
			if (!isSilenced()) {
				queue.add(() => to.end(), this.#delayMs);
			}
		});
		from.on('close', () => {
			// The close of a silenced connection must not reach the other peer.
			if (connection.silenced.size === 0) {
				queue.add(() => {
					to.destroySoon();
				}, this.#delayMs);
			}
		});
	}
}
