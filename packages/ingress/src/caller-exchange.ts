import type {IncomingMessage, ServerResponse} from 'node:http';
import {RefusedError} from '@marjoramcove/errors';
import {BodyCollector} from './body-collector.ts';
import type {BodyAllocation, BodyMemory} from './body-memory.ts';
import {
	findHeader,
	type HeaderList,
	readRawHeaders,
	removeHopByHopHeaders,
} from './header-list.ts';

const flattenHeaders = (headers: HeaderList): string[] =>
	headers.flatMap(([name, value]) => [name, value]);

/** Removes the headers that frame a message, since each connection has its own framing. */
const removeFramingHeaders = (headers: HeaderList): HeaderList =>
	removeHopByHopHeaders(headers).filter(
		([name]) => name.toLowerCase() !== 'content-length',
	);

const createBodyTooLargeError = (limitBytes: number): RefusedError =>
	new RefusedError(`The body has more than ${limitBytes} bytes.`, {
		reason: 'body-too-large',
		hint: 'Send a smaller body.',
	});

const createBodyIncompleteError = (cause: Error | undefined): RefusedError =>
	new RefusedError('The body of the request is not complete.', {
		reason: 'body-incomplete',
		hint: 'Send the whole body.',
		cause,
	});

const createBodyDroppedError = (): RefusedError =>
	new RefusedError('The daemon has no memory left for the body.', {
		reason: 'body-memory-exhausted',
		hint: 'Send the request again after a short while.',
	});

const parseLength = (text: string | undefined): number | undefined =>
	text !== undefined && /^\d{1,15}$/u.test(text) ? Number(text) : undefined;

/** A request of a caller and its response. */
export class CallerExchange {
	readonly method: string;
	/** Path and query, as sent by the caller. */
	readonly target: string;
	readonly headers: HeaderList;
	/** Time at which the request head was complete, on the monotonic clock. */
	readonly receivedAtMs = performance.now();
	readonly #request: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #disconnectListeners = new Set<() => void>();
	#isFinished = false;
	#sentBytes = 0;
	#releaseBody: (() => void) | undefined;
	#growBody: ((sizeBytes: number) => boolean) | undefined;

	constructor(request: IncomingMessage, response: ServerResponse) {
		this.#request = request;
		this.#response = response;
		this.method = request.method ?? 'GET';
		this.target = request.url ?? '/';
		this.headers = readRawHeaders(request.rawHeaders);
		response.sendDate = false;
		response.once('close', () => {
			const isDisconnected = !response.writableFinished && !this.#isFinished;
			this.#isFinished = true;
			if (isDisconnected) {
				for (const listener of this.#disconnectListeners) {
					listener();
				}
			}
		});
		// Writes after the caller has disconnected fail; the `close` event that follows handles that.
		response.on('error', () => undefined);
	}

	get host(): string {
		return findHeader(this.headers, 'host') ?? '';
	}

	/** Whether the status and headers of the response have been sent. */
	get isStarted(): boolean {
		return this.#response.headersSent;
	}

	/** Whether the response has ended, been aborted, or the caller has disconnected. */
	get isFinished(): boolean {
		return this.#isFinished;
	}

	/** Bytes of the response body written so far. */
	get sentBytes(): number {
		return this.#sentBytes;
	}

	/** Whether the write buffer is full because the caller reads too slowly. */
	get isCongested(): boolean {
		return this.#response.writableNeedDrain;
	}

	/**
	 * Calls the listener when the caller disconnects before the response is complete.
	 *
	 * @returns a function that removes the listener.
	 */
	onDisconnect(listener: () => void): () => void {
		this.#disconnectListeners.add(listener);
		return () => {
			this.#disconnectListeners.delete(listener);
		};
	}

	/** Calls the listener once when the write buffer has drained. */
	onceDrained(listener: () => void): void {
		this.#response.once('drain', listener);
	}

	/**
	 * Reads the whole request body. Its memory is held until {@link releaseBody}.
	 *
	 * @param memory - memory that all bodies of the daemon share; unlimited if absent.
	 * @throws RefusedError with the reason `body-too-large`, `body-memory-exhausted` or `body-incomplete`; the
	 * request must then not run.
	 */
	async readBody(limitBytes: number, memory?: BodyMemory): Promise<Buffer> {
		const request = this.#request;
		const lengthBytes = parseLength(request.headers['content-length']);
		if (lengthBytes !== undefined && lengthBytes > limitBytes) {
			throw createBodyTooLargeError(limitBytes);
		}

		try {
			return await new Promise((resolve, reject) => {
				const allocation = this.#openAllocation(memory, () => {
					stop(createBodyDroppedError());
				});
				let body: BodyCollector | undefined = new BodyCollector(lengthBytes);
				// The rest is read and discarded, because a TCP reset could make the caller lose the response.
				const stop = (error: Error) => {
					body = undefined;
					reject(error);
				};

				// Event listeners cost a fraction of async iteration over the request.
				request.on('data', (chunk: Buffer) => {
					if (!body) {
						return;
					}

					if (body.sizeBytes + chunk.length > limitBytes) {
						stop(createBodyTooLargeError(limitBytes));
					} else if (
						allocation &&
						!memory!.tryGrow(allocation, body.costOf(chunk), performance.now())
					) {
						stop(createBodyDroppedError());
					} else {
						body.push(chunk);
					}
				});
				request.once('end', () => {
					if (body) {
						if (allocation) {
							allocation.isComplete = true;
						}

						resolve(body.toBuffer());
					}
				});
				request.once('error', (error) => {
					stop(createBodyIncompleteError(error));
				});
				request.once('close', () => {
					if (!request.complete) {
						stop(createBodyIncompleteError(undefined));
					}
				});
			});
		} catch (error) {
			this.releaseBody();
			throw error;
		}
	}

	/**
	 * Adds to the memory of the body what is sent to the server in addition to it.
	 *
	 * @returns `false` if there is no memory left; the request must then be refused.
	 */
	tryGrowBody(sizeBytes: number): boolean {
		return this.#growBody?.(sizeBytes) ?? true;
	}

	/** Frees the memory of the body once the request no longer needs it. */
	releaseBody(): void {
		this.#releaseBody?.();
		this.#releaseBody = undefined;
		this.#growBody = undefined;
	}

	/**
	 * Sends the status and headers of a response whose body follows. The length that the headers announce is
	 * dropped, because a response with a length is complete for the caller before {@link end} is called.
	 */
	start(status: number, headers: HeaderList): void {
		if (!this.#isFinished) {
			this.#response.writeHead(
				status,
				flattenHeaders(removeFramingHeaders(headers)),
			);
			// Sends the head without waiting for the first chunk of the body.
			this.#response.flushHeaders();
		}
	}

	write(chunk: Uint8Array): void {
		if (!this.#isFinished) {
			this.#sentBytes += chunk.length;
			this.#response.write(chunk);
		}
	}

	/** Completes the response. */
	end(): void {
		if (!this.#isFinished) {
			this.#isFinished = true;
			this.#response.end();
		}
	}

	/** Sends a complete response. */
	respond(status: number, headers: HeaderList, body: Uint8Array): void {
		if (this.#isFinished) {
			return;
		}

		const hasBody = status !== 204 && status !== 304;
		const contentLength: HeaderList = hasBody
			? [['Content-Length', String(body.length)]]
			: [];
		this.#isFinished = true;
		this.#sentBytes = body.length;
		this.#response.writeHead(
			status,
			flattenHeaders([...removeFramingHeaders(headers), ...contentLength]),
		);
		this.#response.end(this.method === 'HEAD' ? undefined : body);
	}

	/** Closes the connection after the response; has no effect once the head has been sent. */
	closeAfterResponse(): void {
		if (!this.#response.headersSent) {
			this.#response.shouldKeepAlive = false;
		}
	}

	/**
	 * Aborts the response by closing the connection, so that the caller does not take it for complete. Without
	 * chunks, as for callers of HTTP/1.0, only a reset differs from the end of the response.
	 */
	abort(): void {
		this.#isFinished = true;
		const {socket, headersSent, chunkedEncoding} = this.#response;
		if (socket && headersSent && !chunkedEncoding) {
			socket.resetAndDestroy();
		} else {
			this.#response.destroy();
		}
	}

	#openAllocation(
		memory: BodyMemory | undefined,
		onDropped: () => void,
	): BodyAllocation | undefined {
		const allocation = memory?.open(
			{holder: this.#request.socket.remoteAddress ?? '', onDropped},
			performance.now(),
		);
		this.#releaseBody =
			allocation &&
			(() => {
				memory!.release(allocation);
			});
		this.#growBody =
			allocation &&
			((sizeBytes) =>
				memory!.tryGrow(allocation, sizeBytes, performance.now()));
		return allocation;
	}
}
