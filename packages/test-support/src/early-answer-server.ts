import {createServer, type Server, type Socket} from 'node:net';
import {listenOnLoopback} from './listen-on-loopback.ts';

/** How an {@link EarlyAnswerServer} answers. */
export type EarlyAnswer = {
	/** Bytes that are sent once the head of the request is there. */
	bytes: string;
	/** Time after which the connection is reset; `undefined` ends it in order. */
	resetAfterMs: number | undefined;
};

/**
 * A server that answers as soon as it has read the head of a request, reads nothing of its body, and then ends
 * the connection. The rest of a large upload is then still being written.
 *
 * @example
 * ```ts
 * const server = new EarlyAnswerServer(() => ({bytes: 'HTTP/1.1 200 OK\r\n\r\nhalf', resetAfterMs: 0}));
 * const address = await server.start();
 * ```
 */
export class EarlyAnswerServer {
	/** Number of requests whose head arrived. */
	requestCount = 0;
	readonly #server: Server;
	readonly #sockets = new Set<Socket>();

	/** @param createAnswer - returns the answer to the request with this head. */
	constructor(createAnswer: (head: string) => EarlyAnswer) {
		this.#server = createServer((socket) => {
			this.#sockets.add(socket);
			socket.on('error', () => undefined);
			socket.once('close', () => {
				this.#sockets.delete(socket);
			});
			let received = '';
			socket.on('data', (chunk) => {
				received += chunk.toString('latin1');
				const headLength = received.indexOf('\r\n\r\n');
				if (headLength !== -1 && !socket.isPaused()) {
					socket.pause();
					this.requestCount++;
					this.#answer(socket, createAnswer(received.slice(0, headLength)));
				}
			});
		});
	}

	/** Starts listening and returns the host and port. */
	async start(): Promise<string> {
		return `127.0.0.1:${await listenOnLoopback(this.#server, 0)}`;
	}

	async stop(): Promise<void> {
		for (const socket of this.#sockets) {
			socket.destroy();
		}

		await new Promise<void>((resolve) => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#answer(socket: Socket, {bytes, resetAfterMs}: EarlyAnswer): void {
		socket.write(bytes, 'latin1');
		if (resetAfterMs === undefined) {
			socket.end();
		} else if (resetAfterMs === 0) {
			socket.resetAndDestroy();
		} else {
			setTimeout(() => {
				socket.resetAndDestroy();
			}, resetAfterMs);
		}
	}
}
