import {createServer} from 'node:http';
import {listenOnLoopback} from '../../packages/test-support/src/index.ts';
import {FakeServer} from '../../platform/src/testing/fake-server.ts';

/** A chunk with one byte of body. */
const CHUNK = '1\r\nx\r\n';

/** Chunks that are written at once. */
const CHUNKS_PER_PIECE = 10_000;

/** A server in trouble: its answers begin as they should, and their bodies never end. */
export class EndlessServer extends FakeServer {
	/** Answers that were begun. */
	begun = 0;
	readonly #endlessServer = createServer((request, response) => {
		const requestId = String(request.headers['request-id']);
		if (request.headers['target-instance'] !== this.id) {
			response.setHeader('Request-Id', requestId);
			response.setHeader('Not-Executed', '1');
			response.writeHead(421).end();
			return;
		}

		request.resume();
		request.on('end', () => {
			this.begun++;
			const socket = response.socket!;
			socket.on('error', () => {
				// The caller has closed the connection.
			});
			socket.write(
				`HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: signed\r\nTransfer-Encoding: chunked\r\n\r\n`,
			);
			const piece = CHUNK.repeat(CHUNKS_PER_PIECE);
			const writeMore = () => {
				if (!socket.destroyed) {
					socket.write(piece, () => {
						setImmediate(writeMore);
					});
				}
			};

			writeMore();
		});
	});

	override async start(): Promise<void> {
		this.address = `127.0.0.1:${await listenOnLoopback(this.#endlessServer, 0)}`;
	}

	override async stop(): Promise<void> {
		this.#endlessServer.closeAllConnections();
		this.#endlessServer.close();
	}
}
