import type {Socket} from 'node:net';
import {buildConnector} from 'undici';

/** Error code of a connection that the server reset. */
export const CONNECTION_RESET_CODE = 'CONNECTION_RESET';

/**
 * Changes the error code of a reset. `undici` takes `ECONNRESET` for the end of a response that has no
 * length and ends with its connection, so that a truncated response would appear complete.
 */
const renameReset = (error: NodeJS.ErrnoException): void => {
	if (error.code === 'ECONNRESET') {
		error.code = CONNECTION_RESET_CODE;
	}
};

/**
 * Fails the socket when its end is a reset. When the last bytes and a reset are noticed together, libuv
 * reports an end without reading the error of the socket. A reset connection has no peer any more; one that
 * the peer closed still has.
 */
const detectUnreportedReset = (socket: Socket): void => {
	const push = socket.push.bind(socket);
	socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
		if (chunk !== null || socket.remoteAddress !== undefined) {
			return push(chunk, encoding);
		}

		socket.destroy(
			Object.assign(new Error('The server reset the connection.'), {
				code: CONNECTION_RESET_CODE,
			}),
		);
		return false;
	};
};

/**
 * Creates the `connect` option of an `undici` client. A connection that is reset fails the response in
 * progress with {@link CONNECTION_RESET_CODE}, however the response is framed.
 *
 * @param timeoutMs - longest time for establishing a connection.
 * @example
 * ```ts
 * const pool = new Pool(origin, {connect: createUpstreamConnector({timeoutMs: 1000})});
 * ```
 */
export const createUpstreamConnector = ({
	timeoutMs,
}: {
	timeoutMs: number;
}): buildConnector.connector => {
	const connect = buildConnector({timeout: timeoutMs});
	return (options, callback) => {
		connect(options, (...result) => {
			const [, socket] = result;
			if (socket) {
				// Registered before the listener of the client, which therefore sees the changed code.
				socket.on('error', renameReset);
				detectUnreportedReset(socket);
			}

			callback(...result);
		});
	};
};
