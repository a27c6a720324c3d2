import type {IncomingMessage, ServerResponse} from 'node:http';
import {RefusedError} from '@marjoramcove/errors';
import {
	findHeader,
	type HeaderList,
	readRawHeaders,
	withoutConnectionHeaders,
} from './header-list.ts';

const flatten = (headers: HeaderList): string[] =>
	headers.flatMap(([name, value]) => [name, value]);

const bodyTooLarge = (limitBytes: number): RefusedError =>
	new RefusedError(`The body has more than ${limitBytes} bytes.`, {
		reason: 'body-too-large',
		hint: 'Send a smaller body.',
	});

const bodyIncomplete = (cause: Error | undefined): RefusedError =>
	new RefusedError('The body of the request is not complete.', {
		reason: 'body-incomplete',
		hint: 'Send the whole body.',
		cause,
	});

/** One request of a caller and its answer. */
export class CallerExchange {
	readonly method: string;
	/** Path and query as they were sent. */
	readonly target: string;
	readonly headers: HeaderList;
	/** When the head was complete, by the monotonic clock. */
	readonly receivedAtMs = performance.now();
	readonly #request: IncomingMessage;
	readonly #response: ServerResponse;
	readonly #leaveListeners = new Set<() => void>();
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
			const hasLeft = !response.writableFinished && !this.#isFinished;
			this.#isFinished = true;
			if (hasLeft) {
				for (const listener of this.#leaveListeners) {
					listener();
				}
			}
		});
		// A write to a caller that left fails here; `close` follows and tells about it.
		response.on('error', () => undefined);
	}

	get host(): string {
		return findHeader(this.headers, 'host') ?? '';
	}

	/** Whether a status has been sent. */
	get isStarted(): boolean {
		return this.#response.headersSent;
	}

	/** Whether the answer is complete or the caller has left. */
	get isFinished(): boolean {
		return this.#isFinished;
	}

	/** Bytes of the answer's body that were written. */
	get sentBytes(): number {
		return this.#sentBytes;
	}

	/** Whether the caller reads more slowly than the answer arrives. */
	get isCongested(): boolean {
		return this.#response.writableNeedDrain;
	}

	/**
	 * Calls the listener when the caller leaves before the answer is complete.
	 *
	 * @returns a function that removes the listener.
	 */
	onAbandoned(listener: () => void): () => void {
		this.#leaveListeners.add(listener);
		return () => {
			this.#leaveListeners.delete(listener);
		};
	}

	/** Calls the listener once when the caller has read enough for more data. */
	onceDrained(listener: () => void): void {
		this.#response.once('drain', listener);
	}

	/**
	 * Reads the whole body.
	 *
	 * @throws RefusedError `body-too-large` or `body-incomplete`; both mean that nothing may run.
	 */
	async readBody(limitBytes: number): Promise<Buffer> {
		const chunks: Buffer[] = [];
		let sizeBytes = 0;
		return new Promise((resolve, reject) => {
			// Events cost a fraction of what an iteration over the request does.
			const request = this.#request;
			request.on('data', (chunk: Buffer) => {
				sizeBytes += chunk.length;
				if (sizeBytes <= limitBytes) {
					chunks.push(chunk);
				} else {
					// The rest is read and dropped, so that the answer is not lost by a reset.
					reject(bodyTooLarge(limitBytes));
				}
			});
			request.once('end', () => {
				resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
			});
			const fail = (cause?: Error) => {
				reject(bodyIncomplete(cause));
			};

			request.once('error', fail);
			request.once('close', () => {
				if (!request.complete) {
					fail();
				}
			});
		});
	}

	/** Starts an answer whose body follows. */
	start(status: number, headers: HeaderList): void {
		if (!this.#isFinished) {
			this.#response.writeHead(
				status,
				flatten(withoutConnectionHeaders(headers)),
			);
			// The head must not wait for the first piece of the body.
			this.#response.flushHeaders();
		}
	}

	write(chunk: Uint8Array): void {
		if (!this.#isFinished) {
			this.#sentBytes += chunk.length;
			this.#response.write(chunk);
		}
	}

	/** Completes the answer. */
	end(): void {
		if (!this.#isFinished) {
			this.#isFinished = true;
			this.#response.end();
		}
	}

	/** Sends a whole answer. */
	answer(status: number, headers: HeaderList, body: Uint8Array): void {
		if (this.#isFinished) {
			return;
		}

		const kept = withoutConnectionHeaders(headers).filter(
			([name]) => name.toLowerCase() !== 'content-length',
		);
		const hasBody = status !== 204 && status !== 304;
		const length: HeaderList = hasBody
			? [['Content-Length', String(body.length)]]
			: [];
		this.#isFinished = true;
		this.#sentBytes = body.length;
		this.#response.writeHead(status, flatten([...kept, ...length]));
		this.#response.end(this.method === 'HEAD' ? undefined : body);
	}

	/** Closes the connection after the answer. */
	closeAfterAnswer(): void {
		if (!this.#response.headersSent) {
			this.#response.shouldKeepAlive = false;
		}
	}

	/** Breaks the answer off, so that it cannot look complete. */
	breakOff(): void {
		this.#isFinished = true;
		this.#response.destroy();
	}
}
