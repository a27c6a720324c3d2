import type {Verdict} from '@marjoramcove/types';
import {createUpstreamConnector} from '@marjoramcove/upstream-http';
import {type Dispatcher, Pool} from 'undici';
import {type HeaderList, readRawHeaders} from './header-list.ts';
import {readStreamedBody, type RequestBody} from './request-body.ts';

/** A request to a server. */
export type OutgoingRequest = {
	method: string;
	/** Path and query, as sent by the caller. */
	target: string;
	headers: HeaderList;
	body: RequestBody;
};

/** Status and headers of a response. */
export type ResponseStart = {
	status: number;
	/** Reason phrase of the status line. */
	statusText?: string;
	headers: HeaderList;
};

/** Reason why an exchange ended without a complete response. */
export type UpstreamFailure = {
	/** `not-run` when no part of the request was written. */
	verdict: Verdict;
	/** Error code of the socket or of the parser. */
	code: string;
	message: string;
};

export type ExchangeHandlers = {
	/**
	 * Called when a connection is available and nothing of the request is written yet. A failure that it returns
	 * ends the exchange without a request.
	 */
	beforeSend?: () => UpstreamFailure | undefined;
	/** Called when the request is about to be written; from then on it may run. */
	onSent?: () => void;
	onStart: (response: ResponseStart) => void;
	onData: (chunk: Uint8Array) => void;
	/** Called when the response is complete. */
	onEnd: () => void;
	onFailure: (failure: UpstreamFailure) => void;
};

/** A request in progress. */
export type UpstreamExchange = {
	/** Closes the connection; no handler is called afterwards. */
	cancel: () => void;
	pause: () => void;
	resume: () => void;
};

/** A server and its connection limit. */
export type UpstreamTarget = {
	/** Distinguishes incarnations of a server, and different servers at the same address. */
	key: string;
	/** Host and port. */
	address: string;
	/** Maximum number of connections from this daemon. */
	maxConnections: number;
};

/** Timeout for establishing a connection. */
const CONNECT_TIMEOUT_MS = 1000;

/** Idle time after which a connection is closed if the server announces no keep-alive timeout. */
const IDLE_CONNECTION_MS = 4000;

/**
 * Margin before the announced keep-alive timeout, so that no request is sent while the server closes
 * the connection.
 */
const KEEP_ALIVE_MARGIN_MS = 700;

/** Number of informational (1xx) responses after which a server is considered faulty. */
const MAX_INFORMATIONAL_RESPONSES = 16;

/** Disables the timeouts for response heads and bodies, which are only forwarded. */
const NO_TIMEOUT = 0;

const createAddressError = ({address}: UpstreamTarget) =>
	Object.assign(new Error(`The address ${address} is invalid.`), {
		code: 'INVALID_ADDRESS',
	});

const flattenHeaders = (headers: HeaderList): string[] =>
	headers.flatMap(([name, value]) => [name, value]);

/** Returns the body and its framing in the form that the HTTP client takes. */
const encodeBody = (
	body: RequestBody,
): Pick<Dispatcher.DispatchOptions, 'body'> & {framing: string[]} => {
	if (body instanceof Uint8Array) {
		return {body: body.length > 0 ? body : null, framing: []};
	}

	return {
		body: readStreamedBody(
			body,
		) as unknown as Dispatcher.DispatchOptions['body'],
		framing: ['Content-Length', String(body.lengthBytes)],
	};
};

/**
 * HTTP client with a connection pool for each server. A connection carries one request at a time, and
 * requests are never retried.
 *
 * @example
 * ```ts
 * const client = new UpstreamClient();
 * const exchange = client.send(target, request, handlers);
 * exchange.cancel();
 * ```
 */
export class UpstreamClient {
	readonly #pools = new Map<string, Pool>();

	send(
		target: UpstreamTarget,
		request: OutgoingRequest,
		handlers: ExchangeHandlers,
	): UpstreamExchange {
		const exchange = new Exchange(handlers);
		const pool = this.#poolFor(target);
		if (!pool) {
			// Handlers are never called before the caller has the exchange.
			queueMicrotask(() => {
				exchange.onResponseError(undefined, createAddressError(target));
			});
			return exchange;
		}

		const {body, framing} = encodeBody(request.body);
		pool.dispatch(
			{
				method: request.method,
				path: request.target,
				headers: [...flattenHeaders(request.headers), ...framing],
				body,
				headersTimeout: NO_TIMEOUT,
				bodyTimeout: NO_TIMEOUT,
			},
			exchange,
		);
		return exchange;
	}

	/** Whether a request to a server can be sent on an open connection. */
	hasIdleConnection(key: string): boolean {
		return (this.#pools.get(key)?.stats.free ?? 0) > 0;
	}

	/** Closes the connections to all servers except those in `keys`, once they are idle. */
	retain(keys: ReadonlySet<string>): void {
		for (const [key, pool] of this.#pools) {
			if (!keys.has(key)) {
				this.#pools.delete(key);
				void pool.close();
			}
		}
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		const pools = [...this.#pools.values()];
		this.#pools.clear();
		await Promise.all(pools.map(async (pool) => pool.destroy()));
	}

	/** Returns the connection pool of a server; `undefined` if its address is invalid. */
	#poolFor({key, address, maxConnections}: UpstreamTarget): Pool | undefined {
		let pool = this.#pools.get(key);
		if (!pool) {
			if (!URL.canParse(`http://${address}`)) {
				return undefined;
			}

			pool = new Pool(`http://${address}`, {
				connections: maxConnections,
				pipelining: 1,
				connect: createUpstreamConnector({timeoutMs: CONNECT_TIMEOUT_MS}),
				keepAliveTimeout: IDLE_CONNECTION_MS,
				keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
			});
			this.#pools.set(key, pool);
		}

		return pool;
	}
}

/** Forwards the events of one request to its handlers until it ends or is cancelled. */
class Exchange implements Dispatcher.DispatchHandler, UpstreamExchange {
	readonly #handlers: ExchangeHandlers;
	#controller: Dispatcher.DispatchController | undefined;
	#isSent = false;
	#hasEnded = false;
	#informationalResponses = 0;

	constructor(handlers: ExchangeHandlers) {
		this.#handlers = handlers;
	}

	cancel(): void {
		if (this.#hasEnded) {
			// The connection may already carry another request.
			return;
		}

		this.#hasEnded = true;
		this.#controller?.abort(new Error('The exchange was cancelled.'));
	}

	pause(): void {
		this.#controller?.pause();
	}

	resume(): void {
		this.#controller?.resume();
	}

	onRequestStart(controller: Dispatcher.DispatchController): void {
		this.#controller = controller;
		if (this.#hasEnded) {
			controller.abort(new Error('The exchange was cancelled.'));
			return;
		}

		const failure = this.#handlers.beforeSend?.();
		if (failure) {
			this.#hasEnded = true;
			controller.abort(new Error(failure.message));
			this.#handlers.onFailure(failure);
			return;
		}

		this.#isSent = true;
		this.#handlers.onSent?.();
	}

	onResponseStart(
		controller: Dispatcher.DispatchController,
		status: number,
		_headers: unknown,
		statusText?: string,
	): void {
		if (this.#hasEnded) {
			return;
		}

		if (status >= 200) {
			const raw = controller.rawHeaders as Buffer[] | string[];
			const headers = readRawHeaders(raw);
			this.#handlers.onStart({status, statusText, headers});
			return;
		}

		// Informational (1xx) responses precede the final one and are ignored.
		this.#informationalResponses++;
		if (this.#informationalResponses > MAX_INFORMATIONAL_RESPONSES) {
			controller.abort(
				Object.assign(new Error('The server sends no final response.'), {
					code: 'ENDLESS_RESPONSE_HEAD',
				}),
			);
		}
	}

	onResponseData(
		_controller: Dispatcher.DispatchController,
		chunk: Buffer,
	): void {
		if (!this.#hasEnded) {
			this.#handlers.onData(chunk);
		}
	}

	onResponseEnd(): void {
		if (!this.#hasEnded) {
			this.#hasEnded = true;
			this.#handlers.onEnd();
		}
	}

	onResponseError(
		_controller: Dispatcher.DispatchController | undefined,
		error: NodeJS.ErrnoException,
	): void {
		if (!this.#hasEnded) {
			this.#hasEnded = true;
			this.#handlers.onFailure({
				verdict: this.#isSent ? 'may-have-run' : 'not-run',
				code: error.code ?? error.name,
				message: error.message,
			});
		}
	}
}
