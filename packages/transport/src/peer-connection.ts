import type {Socket} from 'node:net';
import {ValidationError} from '@marjoramcove/errors';
import type {WebSocket} from 'ws';
import {decodeFrame, encodeMessage, joinFrame} from './frame-codec.ts';
import {parseInput, type PostProcedure} from './peer-router.ts';

/** Events of a connection, for metrics and logs. */
export type PeerConnectionEvent =
	| {type: 'slow-peer-closed'; unsentBytes: number}
	| {type: 'post-failed'; path: string; error: unknown};

/** Options of a {@link PeerConnection}. */
export type PeerConnectionOptions = {
	/** Unsent bytes above which the connection is closed. */
	maxBufferedBytes: number;
	/** Maximum size of the messages of one turn that are joined into one frame. */
	maxBatchBytes: number;
	/** Procedures of one-way messages by path. */
	posts: Record<string, PostProcedure>;
	onEvent?: (event: PeerConnectionEvent) => void;
};

const isPost = (message: unknown): message is {post: string; input?: unknown} =>
	typeof message === 'object' &&
	message !== null &&
	typeof (message as {post?: unknown}).post === 'string';

/**
 * Server side of one link, between the WebSocket and tRPC: it joins the answers of one turn of the
 * event loop into one frame, handles the one-way messages of received frames itself, and closes the
 * connection of a peer that reads too slowly.
 */
export class PeerConnection {
	readonly #client: WebSocket;
	readonly #socket: Socket;
	readonly #options: PeerConnectionOptions;
	readonly #write: (data: string | Uint8Array) => void;
	#queue: Uint8Array[] = [];
	#queuedBytes = 0;
	#isScheduled = false;

	constructor(
		client: WebSocket,
		socket: Socket,
		options: PeerConnectionOptions,
	) {
		this.#client = client;
		this.#socket = socket;
		this.#options = options;
		this.#write = client.send.bind(client);
		client.send = (data: unknown) => {
			this.#send(data as string | Uint8Array);
		};
	}

	/** Bytes that are queued here or buffered by the WebSocket. */
	get unsentBytes(): number {
		return this.#client.bufferedAmount + this.#queuedBytes;
	}

	/** Encodes an answer of tRPC; {@link PeerConnection} adds the frame around it. */
	readonly encode = (message: unknown): Uint8Array<ArrayBuffer> =>
		encodeMessage(message);

	/**
	 * Decodes a frame, runs its one-way messages and returns the other messages for tRPC.
	 *
	 * @throws ValidationError when the frame is damaged.
	 */
	readonly decode = (frame: string | ArrayBuffer | Uint8Array): unknown[] => {
		const messages = decodeFrame(frame as Uint8Array);
		const calls = messages.filter((message) => !isPost(message));
		for (const message of messages) {
			if (isPost(message)) {
				this.#runPost(message.post, message.input);
			}
		}

		return calls;
	};

	#runPost(path: string, input: unknown): void {
		try {
			const procedure = Object.hasOwn(this.#options.posts, path)
				? this.#options.posts[path]
				: undefined;
			if (!procedure) {
				throw new ValidationError(
					`There is no procedure ${path}.`,
					'Run the same version on all daemons.',
				);
			}

			procedure.run(parseInput(path, procedure.input, input));
		} catch (error) {
			this.#options.onEvent?.({type: 'post-failed', path, error});
		}
	}

	#send(data: string | Uint8Array): void {
		if (this.unsentBytes > this.#options.maxBufferedBytes) {
			this.#options.onEvent?.({
				type: 'slow-peer-closed',
				unsentBytes: this.unsentBytes,
			});
			this.#client.terminate();
			return;
		}

		if (typeof data === 'string') {
			this.#write(data);
			return;
		}

		if (
			this.#queuedBytes > 0 &&
			this.#queuedBytes + data.length > this.#options.maxBatchBytes
		) {
			this.#flush();
		}

		this.#queue.push(data);
		this.#queuedBytes += data.length;
		if (!this.#isScheduled) {
			this.#isScheduled = true;
			setImmediate(() => {
				this.#isScheduled = false;
				this.#flush();
			});
		}
	}

	#flush(): void {
		const queue = this.#queue;
		this.#queue = [];
		this.#queuedBytes = 0;
		if (queue.length > 0 && this.#client.readyState === this.#client.OPEN) {
			this.#socket.cork();
			this.#write(joinFrame(queue));
			this.#socket.uncork();
		}
	}
}
