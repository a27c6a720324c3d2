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

/** One request of a caller and its answer. */
export class CallerExchange {
	readonly method: string;
	/** Path and query as they were sent. */
	readonly target: string;
	readonly headers: HeaderList;
	/** When the head was complete, by the monotonic clock. */
	readonly receivedAtMs = performance.now();
	/** Aborts when the caller leaves before the answer is complete. */
	readonly abandoned: AbortSignal;
	readonly #request: IncomingMessage;
	readonly #response: ServerResponse;
	#isFinished = false;
	#sentBytes = 0;

	constructor(request: IncomingMessage, response: ServerResponse) {
		this.#request = request;
		this.#response = response;
		this.method = request.method ?? 'GET';
		this.target = request.url ?? '/';
		this.headers = readRawHeaders(request.rawHeaders);
		response.sendDate = false;
		const controller = new AbortController();
		this.abandoned = controller.signal;
		response.once('close', () => {
			if (!response.writableFinished && !this.#isFinished) {
				controller.abort();
			}

			this.#isFinished = true;
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
		try {
			for await (const chunk of this.#request as AsyncIterable<Buffer>) {
				sizeBytes += chunk.length;
				if (sizeBytes > limitBytes) {
					break;
				}

				chunks.push(chunk);
			}
		} catch (error) {
			throw new RefusedError('The body of the request is not complete.', {
				reason: 'body-incomplete',
				hint: 'Send the whole body.',
				cause: error,
			});
		}

		if (sizeBytes > limitBytes) {
			throw new RefusedError(`The body has more than ${limitBytes} bytes.`, {
				reason: 'body-too-large',
				hint: 'Send a smaller body.',
			});
		}

		return Buffer.concat(chunks, sizeBytes);
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
