import type {Socket} from 'node:net';
import WebSocket from 'ws';
import {
	buildSocketFrame,
	decodeFrame,
	encodeMessage,
	joinFrame,
} from './frame-codec.ts';
import {
	errorFromWire,
	peerLinkLost,
	peerMessageTooLarge,
	peerQueueFull,
	peerUnreachable,
	type WireError,
} from './transport-errors.ts';

/** Default size limit of a message between daemons; longer data is passed in parts. */
export const DEFAULT_MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Limits and timing of one link. */
export type LinkOptions = {
	address: string;
	/**
	 * Silence after which a peer that owes an answer is pinged; an idle link sends no pings. While only one-way
	 * messages or calls that the peer may hold were sent, the ping follows after half of `silenceMs`.
	 */
	heartbeatMs: number;
	/** Silence of a peer that owes an answer after which the link is closed and replaced. */
	silenceMs: number;
	connectTimeoutMs: number;
	maxMessageBytes: number;
	/** Maximum size of the messages of one flush that are joined into one frame. */
	maxBatchBytes: number;
	maxPendingCalls: number;
	maxBufferedBytes: number;
};

const leaveMaskEmpty = (): void => {
	// The library provides a mask of zeros, and does not apply that.
};

/** Minimum time for which a peer may leave a ping unanswered. */
const MIN_PING_WAIT_MS = 150;

/** Callbacks of a call or a subscription. */
export type CallHandlers = {
	onData: (data: unknown) => void;
	onError: (error: Error) => void;
	/** Called when a subscription completes without an error. */
	onComplete?: () => void;
	/** Whether the peer may hold the answer until there is something to say (long poll). */
	isHeld?: boolean;
};

/** Why a link closed. */
export type CloseReason = 'silent' | 'closed-by-peer' | 'failed' | 'released';

type Method = 'mutation' | 'subscription';
type PendingCall = {
	path: string;
	method: Method;
	handlers: CallHandlers;
	isWritten: boolean;
};
type ServerMessage = {
	id: number | string | null;
	result?: {type: 'data' | 'started' | 'stopped'; data?: unknown};
	error?: WireError;
};

/**
 * One WebSocket connection that speaks the tRPC protocol.
 *
 * The client of tRPC (`wsLink`) sends subscriptions again after a reconnect and does not report
 * whether a failed call was written. Both violate at-most-once delivery, so this class replaces the
 * client and keeps the protocol: nothing is sent twice, and an error states whether the call was written.
 */
export class PeerLink {
	readonly #options: LinkOptions;
	readonly #onClose: (reason: CloseReason) => void;
	readonly #socket: WebSocket;
	readonly #pending = new Map<number, PendingCall>();
	readonly #opened: Promise<void>;
	/** Connection of the WebSocket, to which frames are written directly. */
	#stream: Socket | undefined;
	/** Messages of the next flush; one-way messages have no id. */
	#queue: Array<{id?: number; bytes: Uint8Array}> = [];
	#nextId = 1;
	#lastSentMs = Number.NEGATIVE_INFINITY;
	#lastReceivedMs = performance.now();
	/** Start of the present silence: the last received message, or the first one sent after an idle time. */
	#silentSinceMs = performance.now();
	/** Time of the last ping; `undefined` once something was received after it. */
	#pingSentMs: number | undefined;
	#checkAtMs = 0;
	/** Runs while the peer owes an answer. */
	#timer: NodeJS.Timeout | undefined;
	#flushScheduled = false;
	#closed = false;
	#closeReason: CloseReason = 'closed-by-peer';

	constructor(options: LinkOptions, onClose: (reason: CloseReason) => void) {
		this.#options = options;
		this.#onClose = onClose;
		this.#socket = new WebSocket(`ws://${options.address}`, {
			maxPayload: options.maxMessageBytes + 65_536,
			handshakeTimeout: options.connectTimeoutMs,
			perMessageDeflate: false,
			// Masks protect caches between a browser and a server; here they only cost time on each byte.
			generateMask: leaveMaskEmpty,
		});
		this.#opened = this.#listen();
	}

	/** Resolves when the link is open; rejects when it cannot be opened. */
	get opened(): Promise<void> {
		return this.#opened;
	}

	get pendingCalls(): number {
		return this.#pending.size;
	}

	/**
	 * Queues a message for the next flush.
	 *
	 * @returns a function that cancels the call locally; for a subscription it also notifies the peer.
	 * @throws RefusedError when a limit is exceeded; nothing was sent.
	 */
	send(
		method: Method,
		path: string,
		input: unknown,
		handlers: CallHandlers,
	): () => void {
		const id = this.#nextId++;
		const bytes = encodeMessage({id, method, params: {path, input}});
		this.#checkLimits(path, bytes);
		this.#pending.set(id, {
			path,
			method,
			handlers,
			isWritten: false,
		});
		this.#queue.push({id, bytes});
		this.#scheduleFlush();
		return () => {
			this.#cancel(id);
		};
	}

	/**
	 * Queues a one-way message for the next flush. When the link breaks, the message is lost without an
	 * error.
	 *
	 * @throws RefusedError when a limit is exceeded; nothing was sent.
	 */
	post(path: string, input: unknown): void {
		const bytes = encodeMessage({post: path, input});
		this.#checkLimits(path, bytes);
		this.#queue.push({bytes});
		this.#scheduleFlush();
	}

	/**
	 * Notes that a call got no answer in time. Closes the link if the peer has not even answered a ping since
	 * the call was sent, so that a retry uses a new connection.
	 *
	 * @param sentMs - monotonic time at which the call was sent.
	 */
	recordTimeout(sentMs: number): void {
		const isPingLost =
			this.#pingSentMs !== undefined &&
			performance.now() - this.#pingSentMs >= MIN_PING_WAIT_MS;
		// A late check means that this process was suspended, and that received data may still be unread.
		const isSuspended =
			performance.now() - this.#checkAtMs > this.#options.heartbeatMs;
		if (isPingLost && !isSuspended && this.#lastReceivedMs < sentMs) {
			this.close('silent');
		}
	}

	/** Closes the link; pending calls fail. */
	close(reason: CloseReason = 'released'): void {
		this.#closeReason = reason;
		if (this.#socket.readyState === WebSocket.OPEN && reason === 'released') {
			this.#socket.close();
		}

		this.#socket.terminate();
		this.#finish();
	}

	async #listen(): Promise<void> {
		return new Promise((resolve, reject) => {
			this.#socket.on('upgrade', ({socket}) => {
				this.#stream = socket;
			});
			this.#socket.on('open', () => {
				this.#recordReceived();
				resolve();
			});
			this.#socket.on('message', (data: Buffer, isBinary) => {
				this.#receive(data, isBinary);
			});
			this.#socket.on('error', (error) => {
				this.#closeReason = 'failed';
				reject(peerUnreachable(this.#options.address, error));
			});
			this.#socket.on('close', () => {
				reject(peerUnreachable(this.#options.address));
				this.#finish();
			});
		});
	}

	#checkLimits(path: string, {length}: Uint8Array): void {
		const {maxMessageBytes, maxPendingCalls, maxBufferedBytes, address} =
			this.#options;
		if (length > maxMessageBytes) {
			throw peerMessageTooLarge(path, length, maxMessageBytes);
		}

		if (this.#pending.size >= maxPendingCalls) {
			throw peerQueueFull(address, `${maxPendingCalls} calls are pending`);
		}

		if (this.#socket.bufferedAmount > maxBufferedBytes) {
			throw peerQueueFull(address, `${maxBufferedBytes} bytes are unsent`);
		}
	}

	#scheduleFlush(): void {
		if (!this.#flushScheduled) {
			this.#flushScheduled = true;
			setImmediate(() => {
				this.#flushScheduled = false;
				this.#flush();
			});
		}
	}

	#flush(): void {
		if (this.#closed || this.#socket.readyState !== WebSocket.OPEN) {
			return;
		}

		let batch: Uint8Array[] = [];
		let sizeBytes = 0;
		const sendBatch = () => {
			if (batch.length > 0) {
				this.#stream!.write(buildSocketFrame(batch, true));
				this.#recordSent();
			}

			batch = [];
			sizeBytes = 0;
		};

		for (const {id, bytes} of this.#queue) {
			if (id !== undefined) {
				const call = this.#pending.get(id);
				if (!call) {
					continue;
				}

				call.isWritten = true;
			}

			if (sizeBytes + bytes.length > this.#options.maxBatchBytes) {
				sendBatch();
			}

			batch.push(bytes);
			sizeBytes += bytes.length;
		}

		this.#queue = [];
		sendBatch();
	}

	#receive(data: Buffer, isBinary: boolean): void {
		this.#recordReceived();
		if (!isBinary) {
			if (data.toString() === 'PING') {
				this.#socket.send('PONG');
			}

			return;
		}

		let messages: ServerMessage[];
		try {
			messages = decodeFrame(data) as ServerMessage[];
		} catch {
			this.close('failed');
			return;
		}

		for (const message of messages) {
			this.#dispatch(message);
		}
	}

	#dispatch({id, result, error}: ServerMessage): void {
		const call = this.#pending.get(Number(id));
		if (!call) {
			return;
		}

		if (error) {
			this.#pending.delete(Number(id));
			call.handlers.onError(errorFromWire(error));
			return;
		}

		if (result?.type === 'stopped') {
			this.#pending.delete(Number(id));
			call.handlers.onComplete?.();
		} else if (result?.type === 'data') {
			if (call.method === 'mutation') {
				this.#pending.delete(Number(id));
			}

			call.handlers.onData(result.data);
		}
	}

	#cancel(id: number): void {
		const call = this.#pending.get(id);
		this.#pending.delete(id);
		if (
			call?.method === 'subscription' &&
			call.isWritten &&
			this.#socket.readyState === WebSocket.OPEN
		) {
			this.#socket.send(
				joinFrame([encodeMessage({id, method: 'subscription.stop'})]),
			);
		}
	}

	#recordReceived(): void {
		this.#lastReceivedMs = performance.now();
		this.#silentSinceMs = this.#lastReceivedMs;
		this.#pingSentMs = undefined;
	}

	#recordSent(): void {
		this.#lastSentMs = performance.now();
		if (this.#timer === undefined) {
			this.#silentSinceMs = this.#lastSentMs;
			this.#scheduleCheck();
		}
	}

	#scheduleCheck(): void {
		const {heartbeatMs} = this.#options;
		this.#checkAtMs = performance.now() + heartbeatMs;
		this.#timer = setTimeout(() => {
			this.#timer = undefined;
			this.#checkHeartbeat();
		}, heartbeatMs);
	}

	#checkHeartbeat(): void {
		const isAnswerOwed =
			this.#pending.size > 0 || this.#lastSentMs > this.#lastReceivedMs;
		if (!isAnswerOwed || this.#closed) {
			return;
		}

		const {heartbeatMs, silenceMs} = this.#options;
		const nowMs = performance.now();
		// After this process itself was suspended, received data may still be unread, so the silence of
		// the peer is measured anew from now.
		if (nowMs - this.#checkAtMs > heartbeatMs) {
			this.#silentSinceMs = nowMs;
		}

		const silentMs = nowMs - this.#silentSinceMs;
		if (silentMs > silenceMs) {
			this.close('silent');
			return;
		}

		// A message received since the last check already shows that the peer is alive.
		const pingAfterMs = this.#isAnswerDue() ? heartbeatMs : silenceMs / 2;
		if (silentMs >= pingAfterMs && this.#socket.readyState === WebSocket.OPEN) {
			this.#pingSentMs ??= nowMs;
			this.#socket.send('PING');
		}

		this.#scheduleCheck();
	}

	/** Whether the peer should answer at once; a retry then needs to know soon whether the link works. */
	#isAnswerDue(): boolean {
		for (const {handlers} of this.#pending.values()) {
			if (!handlers.isHeld) {
				return true;
			}
		}

		return false;
	}

	#finish(): void {
		if (this.#closed) {
			return;
		}

		this.#closed = true;
		clearTimeout(this.#timer);
		const calls = [...this.#pending.values()];
		this.#pending.clear();
		this.#queue = [];
		for (const {path, handlers, isWritten} of calls) {
			handlers.onError(
				isWritten
					? peerLinkLost(this.#options.address, path)
					: peerUnreachable(this.#options.address),
			);
		}

		this.#onClose(this.#closeReason);
	}
}
