import type {Socket} from 'node:net';
import {messageOf, toErrorBody, ValidationError} from '@marjoramcove/errors';
import type {RawData, WebSocket} from 'ws';
import {buildSocketFrame, decodeFrame, encodeMessage} from './frame-codec.ts';
import {
	type CallProcedure,
	parseInput,
	type PeerContext,
	type PostProcedure,
	type Procedures,
} from './peer-router.ts';
import {peerAnswerTooLarge} from './transport-errors.ts';

/** Events of a connection, for metrics and logs. */
export type PeerConnectionEvent =
	| {type: 'slow-peer-closed'; unsentBytes: number}
	| {type: 'post-failed'; path: string; error: unknown};

/** Options of a {@link PeerConnection}. */
export type PeerConnectionOptions = {
	/** Unsent bytes above which the connection is closed. */
	maxBufferedBytes: number;
	/** Size above which an answer is replaced by an error; the peer would close the link. */
	maxMessageBytes: number;
	/** Maximum size of the messages of one turn that are joined into one frame. */
	maxBatchBytes: number;
	/** Procedures of one-way messages by path. */
	posts: Record<string, PostProcedure>;
	/** Procedures with one answer that are run here and not by tRPC. */
	calls: Procedures;
	/** Number of messages of a frame above which tRPC refuses the frame. */
	maxBatchSize: number;
	context: PeerContext;
	onEvent?: (event: PeerConnectionEvent) => void;
};

const isPost = (message: unknown): message is {post: string; input?: unknown} =>
	typeof message === 'object' &&
	message !== null &&
	typeof (message as {post?: unknown}).post === 'string';

type Call = {id: number; params: {path: string; input?: unknown}};

const isCall = (message: unknown): message is Call => {
	const {id, method, params} = (message ?? {}) as {
		id?: unknown;
		method?: unknown;
		params?: {path?: unknown};
	};
	return (
		typeof id === 'number' &&
		method === 'mutation' &&
		typeof params?.path === 'string'
	);
};

/** Code of tRPC for an error inside a procedure; {@link PeerLink} reads the body only. */
const INTERNAL_ERROR = {code: -32_603, name: 'INTERNAL_SERVER_ERROR'};

const encodeError = (
	id: number | string,
	error: unknown,
): Uint8Array<ArrayBuffer> =>
	encodeMessage({
		id,
		error: {
			message: messageOf(error),
			code: INTERNAL_ERROR.code,
			data: {
				code: INTERNAL_ERROR.name,
				body: toErrorBody(error, 'may-have-run'),
			},
		},
	});

/**
 * Server side of one link, between the WebSocket and tRPC: it joins the answers of one turn of the
 * event loop into one frame, runs one-way messages and calls with one answer itself, and closes the
 * connection of a peer that reads too slowly. tRPC gets streams, unknown procedures and damaged frames;
 * for one call it allocates some 30 objects and two abort signals, which cost more than most procedures.
 */
export class PeerConnection {
	readonly #client: WebSocket;
	readonly #socket: Socket;
	readonly #options: PeerConnectionOptions;
	readonly #write: (data: string | Uint8Array) => void;
	#queue: Uint8Array[] = [];
	#queuedBytes = 0;
	#isScheduled = false;
	#lastReceivedMs = performance.now();
	/** Messages of the present frame that are left to tRPC. */
	#remaining: unknown[] | undefined;

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
	readonly encode = (message: unknown): Uint8Array<ArrayBuffer> => {
		const {maxMessageBytes} = this.#options;
		const bytes = encodeMessage(message);
		const {id} = message as {id?: number | string};
		return bytes.length > maxMessageBytes && id !== undefined
			? encodeError(
					id,
					peerAnswerTooLarge(`call ${id}`, bytes.length, maxMessageBytes),
				)
			: bytes;
	};

	/** Monotonic time at which the peer last sent anything. */
	get lastReceivedMs(): number {
		return this.#lastReceivedMs;
	}

	/** Decodes a frame for tRPC, without the messages that {@link PeerConnection.receive} has run. */
	readonly decode = (frame: string | ArrayBuffer | Uint8Array): unknown[] =>
		this.#remaining ?? decodeFrame(frame as Uint8Array);

	/**
	 * Handles received data.
	 *
	 * @param forward - passes the data to tRPC, which decodes it with {@link PeerConnection.decode}.
	 */
	receive(data: RawData, isBinary: boolean, forward: () => void): void {
		this.#lastReceivedMs = performance.now();
		if (!isBinary || !Buffer.isBuffer(data)) {
			forward();
			return;
		}

		let messages: unknown[];
		try {
			messages = decodeFrame(data);
		} catch {
			// Decoded once more by tRPC, which reports the damage to the peer.
			forward();
			return;
		}

		const remaining =
			messages.length > this.#options.maxBatchSize
				? messages
				: messages.filter((message) => !this.#run(message));
		if (remaining.length > 0) {
			this.#remaining = remaining;
			try {
				forward();
			} finally {
				this.#remaining = undefined;
			}
		}
	}

	/** @returns whether the message is a one-way message or a call, which has been started. */
	#run(message: unknown): boolean {
		if (isPost(message)) {
			this.#runPost(message.post, message.input);
			return true;
		}

		if (!isCall(message)) {
			return false;
		}

		const {path} = message.params;
		const procedure = Object.hasOwn(this.#options.calls, path)
			? this.#options.calls[path]
			: undefined;
		if (procedure?.kind !== 'call') {
			return false;
		}

		void this.#runCall(message, procedure);
		return true;
	}

	async #runCall({id, params}: Call, procedure: CallProcedure): Promise<void> {
		let answer: Uint8Array;
		try {
			const input = parseInput(params.path, procedure.input, params.input);
			const data = await procedure.run(input, this.#options.context);
			answer = this.#encodeData(id, params.path, data);
		} catch (error) {
			answer = encodeError(id, error);
		}

		this.#send(answer);
	}

	#encodeData(id: number, path: string, data: unknown): Uint8Array {
		const {maxMessageBytes} = this.#options;
		const bytes = encodeMessage({id, result: {type: 'data', data}});
		if (bytes.length > maxMessageBytes) {
			throw peerAnswerTooLarge(path, bytes.length, maxMessageBytes);
		}

		return bytes;
	}

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
			this.#socket.write(buildSocketFrame(queue, false));
		}
	}
}
