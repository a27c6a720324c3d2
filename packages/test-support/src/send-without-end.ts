import type {Writable} from 'node:stream';

/** What a writer without end has sent so far. */
export type EndlessWrite = {
	/** Bytes handed to the stream. */
	readonly sentBytes: number;
	/** Whether the stream has been closed. */
	readonly isClosed: boolean;
};

/**
 * Writes a piece again and again, as fast as the other end reads, until the stream is closed.
 *
 * @example
 * ```ts
 * const write = sendWithoutEnd(socket, Buffer.alloc(65_536, 'a'));
 * write.sentBytes;
 * ```
 */
export const sendWithoutEnd = (
	stream: Writable,
	piece: Uint8Array | string,
): EndlessWrite => {
	const write = {sentBytes: 0, isClosed: false};
	const fill = () => {
		while (!stream.destroyed) {
			write.sentBytes += piece.length;
			if (!stream.write(piece)) {
				return;
			}
		}
	};

	stream.on('drain', fill);
	stream.once('close', () => {
		write.isClosed = true;
	});
	fill();
	return write;
};
