import {connect, createServer, type Server, type Socket} from 'node:net';
import {listenOnLoopback} from './listen-on-loopback.ts';

/** Directions of a proxied connection. */
export type ProxyDirection = 'to-server' | 'to-client' | 'both';

type Pair = {client: Socket; server: Socket; silent: Set<ProxyDirection>};

/**
 * TCP proxy that injects faults at run time: delay, cut, reset, and silence in one or both directions
 * for the existing connections only or for new ones too.
 *
 * A silent direction keeps its connection open and drops the bytes, so neither side notices.
 *
 * @example
 * ```ts
 * const proxy = await new TcpProxy('127.0.0.1:8201').start();
 * proxy.silence('to-server', {newConnections: true});
 * proxy.heal();
 * ```
 */
export class TcpProxy {
	/** Bytes passed in each direction, for tests. */
	readonly passedBytes = {'to-server': 0, 'to-client': 0};
	readonly #target: {host: string; port: number};
	readonly #pairs = new Set<Pair>();
	#server: Server | undefined;
	#port = 0;
	#delayMs = 0;
	#silentNew = new Set<ProxyDirection>();
	#refuseNew = false;

	constructor(targetAddress: string) {
		const [host, port] = targetAddress.split(':');
		this.#target = {host: host!, port: Number(port)};
	}

	get address(): string {
		return `127.0.0.1:${this.#port}`;
	}

	get connectionCount(): number {
		return this.#pairs.size;
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

	/** Delays each block of bytes; 0 ends the delay. */
	delay(delayMs: number): void {
		this.#delayMs = delayMs;
	}

	/** Closes all connections. */
	cut(): void {
		for (const {client, server} of this.#pairs) {
			client.destroy();
			server.destroy();
		}
	}

	/** Resets all connections. */
	reset(): void {
		for (const {client, server} of this.#pairs) {
			client.resetAndDestroy();
			server.resetAndDestroy();
		}
	}

	/** Closes new connections at once. */
	refuseNew(): void {
		this.#refuseNew = true;
	}

	/** Drops the bytes of one or both directions of the existing, and optionally of new connections. */
	silence(
		direction: ProxyDirection,
		{newConnections}: {newConnections: boolean},
	): void {
		for (const pair of this.#pairs) {
			pair.silent.add(direction);
		}

		if (newConnections) {
			this.#silentNew.add(direction);
		}
	}

	/** Ends all faults for new connections; connections that went silent are closed. */
	heal(): void {
		this.#silentNew = new Set();
		this.#refuseNew = false;
		this.#delayMs = 0;
		for (const pair of this.#pairs) {
			if (pair.silent.size > 0) {
				pair.client.destroy();
				pair.server.destroy();
			}
		}
	}

	#accept(client: Socket): void {
		if (this.#refuseNew) {
			client.destroy();
			return;
		}

		const server = connect(this.#target);
		const pair: Pair = {client, server, silent: new Set(this.#silentNew)};
		this.#pairs.add(pair);
		for (const socket of [client, server]) {
			socket.setNoDelay(true);
			socket.on('error', () => socket.destroy());
			socket.on('close', () => {
				this.#pairs.delete(pair);
				// An end of a silent connection must not reach the other side either.
				if (pair.silent.size === 0) {
					client.destroy();
					server.destroy();
				}
			});
		}

		this.#pump(pair, 'to-server');
		this.#pump(pair, 'to-client');
	}

	#pump(pair: Pair, direction: 'to-server' | 'to-client'): void {
		const [from, to] =
			direction === 'to-server'
				? [pair.client, pair.server]
				: [pair.server, pair.client];
		const silent = () => pair.silent.has(direction) || pair.silent.has('both');
		const pass = (bytes: Uint8Array) => {
			if (silent() || to.destroyed) {
				return;
			}

			this.passedBytes[direction] += bytes.length;
			if (!to.write(bytes)) {
				from.pause();
				to.once('drain', () => from.resume());
			}
		};

		from.on('data', (bytes) => {
			if (this.#delayMs === 0) {
				pass(bytes);
			} else {
				setTimeout(pass, this.#delayMs, bytes);
			}
		});
		from.on('end', () => {
			if (!silent()) {
				setTimeout(() => to.end(), this.#delayMs);
			}
		});
	}
}
