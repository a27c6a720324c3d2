import {backoffDelay, type BackoffOptions} from './backoff-delay.ts';
import {
	type CallHandlers,
	type CloseReason,
	DEFAULT_MAX_MESSAGE_BYTES,
	type LinkOptions,
	PeerLink,
} from './peer-link.ts';
import {peerTimeout, peerUnreachable} from './transport-errors.ts';

/** Events of a client, for metrics and logs. */
export type PeerClientEvent =
	| {type: 'connected'; address: string}
	| {type: 'link-closed'; address: string; reason: CloseReason}
	| {type: 'reconnecting'; address: string; attempt: number; delayMs: number};

/** Options of a {@link PeerClient}; those of the link have defaults. */
export type PeerClientOptions = Partial<LinkOptions> & {
	address: string;
	backoff?: BackoffOptions;
	/** Time without calls after which the link is closed until the next call; 0 keeps it open. */
	idleMs?: number;
	onEvent?: (event: PeerClientEvent) => void;
	random?: () => number;
};

/** Options of one call. */
export type CallOptions = {
	timeoutMs: number;
	/** Whether the peer may hold the answer until there is something to say (long poll). */
	isHeld?: boolean;
};

const defaultLinkOptions: Omit<LinkOptions, 'address'> = {
	heartbeatMs: 1000,
	silenceMs: 3000,
	connectTimeoutMs: 1000,
	maxMessageBytes: DEFAULT_MAX_MESSAGE_BYTES,
	maxBatchBytes: 64 * 1024,
	maxPendingCalls: 10_000,
	maxBufferedBytes: 32 * 1024 * 1024,
};

/**
 * Persistent link to one daemon. The link opens on the first call, is replaced when it breaks or when
 * the peer is silent for too long, and never sends a call twice.
 *
 * @example
 * ```ts
 * const client = new PeerClient({address: '127.0.0.1:8201'});
 * const answer = await client.call('programs.describe', {programId}, {timeoutMs: 2000});
 * client.close();
 * ```
 */
export class PeerClient {
	readonly address: string;
	readonly #options: PeerClientOptions;
	readonly #linkOptions: LinkOptions;
	readonly #backoff: BackoffOptions;
	#link: PeerLink | undefined;
	#opening: Promise<PeerLink> | undefined;
	#failures = 0;
	#retryAtMs = 0;
	#lastUsedMs = performance.now();
	#closed = false;
	readonly #idleTimer: NodeJS.Timeout | undefined;

	constructor(options: PeerClientOptions) {
		this.address = options.address;
		this.#options = options;
		this.#linkOptions = {...defaultLinkOptions, ...options};
		this.#backoff = options.backoff ?? {initialMs: 50, maximumMs: 2000};
		const {idleMs = 0} = options;
		if (idleMs > 0) {
			this.#idleTimer = setInterval(() => {
				this.#closeWhenIdle(idleMs);
			}, idleMs / 2).unref();
		}
	}

	/** `up` while a link is open; a client without traffic is `down` until its first call. */
	get state(): 'up' | 'down' {
		return this.#link ? 'up' : 'down';
	}

	/**
	 * Calls a procedure of the peer.
	 *
	 * @throws RefusedError when the call was not sent (`peer-unreachable`, `peer-queue-full`,
	 * `peer-message-too-large`), MarjoramcoveError with verdict `may-have-run` when the link was
	 * lost or no answer came in time, or the error that the peer reported.
	 */
	async call<Output>(
		path: string,
		input: unknown,
		{timeoutMs, isHeld}: CallOptions,
	): Promise<Output> {
		const startedMs = performance.now();
		const link = await this.#openLink(timeoutMs);
		const sentMs = performance.now();
		const remainingMs = timeoutMs - (sentMs - startedMs);
		return new Promise<Output>((resolve, reject) => {
			const handlers: CallHandlers = {
				isHeld,
				onData(data) {
					clearTimeout(timer);
					resolve(data as Output);
				},
				onError(error) {
					clearTimeout(timer);
					reject(error);
				},
			};
			const cancel = link.send('mutation', path, input, handlers);
			const timer = setTimeout(
				() => {
					cancel();
					link.recordTimeout(sentMs);
					reject(peerTimeout(this.address, path, timeoutMs));
				},
				Math.max(1, remainingMs),
			);
		});
	}

	/**
	 * Opens a subscription. It is not reopened after the link is lost; `onError` reports the loss.
	 *
	 * @returns a function that ends the subscription.
	 */
	async subscribe(
		path: string,
		input: unknown,
		handlers: CallHandlers,
	): Promise<() => void> {
		const link = await this.#openLink(this.#linkOptions.connectTimeoutMs);
		return link.send('subscription', path, input, handlers);
	}

	/**
	 * Sends a one-way message. It may be lost; the protocol that uses it must send it again if needed.
	 *
	 * @throws RefusedError when it was not sent.
	 */
	async post(path: string, input: unknown): Promise<void> {
		const link =
			this.#link ?? (await this.#openLink(this.#linkOptions.connectTimeoutMs));
		this.#lastUsedMs = performance.now();
		link.post(path, input);
	}

	/** Closes the link and refuses further calls. */
	close(): void {
		this.#closed = true;
		clearInterval(this.#idleTimer);
		this.#link?.close();
	}

	async #openLink(timeoutMs: number): Promise<PeerLink> {
		this.#lastUsedMs = performance.now();
		if (this.#link) {
			return this.#link;
		}

		if (this.#closed || performance.now() < this.#retryAtMs) {
			throw peerUnreachable(this.address);
		}

		this.#opening ??= this.#connect();
		return this.#withTimeout(this.#opening, timeoutMs);
	}

	async #withTimeout(
		opening: Promise<PeerLink>,
		timeoutMs: number,
	): Promise<PeerLink> {
		let timer: NodeJS.Timeout | undefined;
		const timeout = new Promise<never>((_resolve, reject) => {
			timer = setTimeout(() => {
				reject(peerUnreachable(this.address));
			}, timeoutMs);
		});
		try {
			return await Promise.race([opening, timeout]);
		} finally {
			clearTimeout(timer);
		}
	}

	async #connect(): Promise<PeerLink> {
		const link: PeerLink = new PeerLink(this.#linkOptions, (reason) => {
			if (this.#link === link) {
				this.#link = undefined;
				this.#options.onEvent?.({
					type: 'link-closed',
					address: this.address,
					reason,
				});
			}
		});
		try {
			await link.opened;
			this.#link = link;
			this.#failures = 0;
			this.#options.onEvent?.({type: 'connected', address: this.address});
			return link;
		} catch (error) {
			this.#scheduleRetry();
			throw error;
		} finally {
			this.#opening = undefined;
		}
	}

	#scheduleRetry(): void {
		const random = (this.#options.random ?? Math.random)();
		const delayMs = backoffDelay(this.#failures, this.#backoff, random);
		this.#failures++;
		this.#retryAtMs = performance.now() + delayMs;
		this.#options.onEvent?.({
			type: 'reconnecting',
			address: this.address,
			attempt: this.#failures,
			delayMs,
		});
	}

	#closeWhenIdle(idleMs: number): void {
		const link = this.#link;
		if (
			link?.pendingCalls === 0 &&
			performance.now() - this.#lastUsedMs > idleMs
		) {
			this.#link = undefined;
			link.close();
		}
	}
}
