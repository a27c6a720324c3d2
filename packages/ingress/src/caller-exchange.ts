import type {IncomingMessage, ServerResponse} from 'node:http';
import {RefusedError} from '@marjoramcove/errors';
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
	 * Reads the whole request body.
	 *
	 * @throws RefusedError with the reason `body-too-large` or `body-incomplete`; the request must then not run.
	 */
	async readBody(limitBytes: number): Promise<Buffer> {
		const chunks: Buffer[] = [];
		let sizeBytes = 0;
		return new Promise((resolve, reject) => {
			// Event listeners cost a fraction of async iteration over the request.
			const request = this.#request;
			request.on('data', (chunk: Buffer) => {
				sizeBytes += chunk.length;
				if (sizeBytes <= limitBytes) {
					chunks.push(chunk);
				} else {
					// The rest is read and discarded, because a TCP reset could make the caller lose the response.
					reject(createBodyTooLargeError(limitBytes));
				}
			});
			request.once('end', () => {
				resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
			});
			const fail = (cause?: Error) => {
				reject(createBodyIncompleteError(cause));
			};

			request.once('error', fail);
			request.once('close', () => {
				if (!request.complete) {
					fail();
				}
			});
		});
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
}
