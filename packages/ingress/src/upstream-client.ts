import type {Verdict} from '@marjoramcove/types';
import {type Dispatcher, Pool} from 'undici';
import {type HeaderList, readRawHeaders} from './header-list.ts';

/** A request as it goes to a server. */
export type OutgoingRequest = {
	method: string;
	/** Path and query as the caller sent them. */
	target: string;
	headers: HeaderList;
	body: Uint8Array;
};

export type AnswerStart = {status: number; headers: HeaderList};

/** Why an exchange ended without a whole answer. */
export type UpstreamFailure = {
	/** `not-run` when nothing of the request was written. */
	verdict: Verdict;
	/** Code of the socket or of the parser. */
	code: string;
	message: string;
};

export type ExchangeHandlers = {
	/** The request is being written; from now on it may run. */
	onSent?: () => void;
	onStart: (answer: AnswerStart) => void;
	onData: (chunk: Uint8Array) => void;
	/** The answer is complete. */
	onEnd: () => void;
	onFailure: (failure: UpstreamFailure) => void;
};

/** A request under way. */
export type UpstreamExchange = {
	/** Closes the connection; no handler is called afterwards. */
	cancel: () => void;
	pause: () => void;
	resume: () => void;
};

/** How connections to one server are kept. */
export type UpstreamTarget = {
	/** Tells two lives of a server, and two servers at one address, apart. */
	key: string;
	/** Host and port. */
	address: string;
	/** Connections that this daemon may hold. */
	maxConnections: number;
};

/** Time for a connection to be established. */
const CONNECT_TIMEOUT_MS = 1000;

/** Idle time after which a connection is closed when the server names no limit of its own. */
const IDLE_CONNECTION_MS = 4000;

/** A connection is not used this shortly before the server closes it, so that both do not cross. */
const KEEP_ALIVE_MARGIN_MS = 700;

/** Bodies of answers are not bounded: they pass through. */
const NO_TIMEOUT = 0;

const flatten = (headers: HeaderList): string[] =>
	headers.flatMap(([name, value]) => [name, value]);

/**
 * Keeps connections to servers; each carries one request at a time. Nothing is sent twice.
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
		this.#pool(target).dispatch(
			{
				method: request.method,
				path: request.target,
				headers: flatten(request.headers),
				body: request.body.length > 0 ? request.body : null,
				headersTimeout: NO_TIMEOUT,
				bodyTimeout: NO_TIMEOUT,
			},
			exchange,
		);
		return exchange;
	}

	/** Closes the connections to servers that are not listed any more, once they are idle. */
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

	#pool({key, address, maxConnections}: UpstreamTarget): Pool {
		let pool = this.#pools.get(key);
		if (!pool) {
			pool = new Pool(`http://${address}`, {
				connections: maxConnections,
				pipelining: 1,
				connect: {timeout: CONNECT_TIMEOUT_MS},
				keepAliveTimeout: IDLE_CONNECTION_MS,
				keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
			});
			this.#pools.set(key, pool);
		}

		return pool;
	}
}

/** Passes the events of one request on until it is cancelled. */
class Exchange implements Dispatcher.DispatchHandler, UpstreamExchange {
	readonly #handlers: ExchangeHandlers;
	#controller: Dispatcher.DispatchController | undefined;
	#isSent = false;
	#isOver = false;

	constructor(handlers: ExchangeHandlers) {
		this.#handlers = handlers;
	}

	cancel(): void {
		if (this.#isOver) {
			// The connection may carry another request by now.
			return;
		}

		this.#isOver = true;
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
		if (this.#isOver) {
			controller.abort(new Error('The exchange was cancelled.'));
			return;
		}

		this.#isSent = true;
		this.#handlers.onSent?.();
	}

	onResponseStart(
		controller: Dispatcher.DispatchController,
		status: number,
	): void {
		// An informational answer comes before the final one.
		if (!this.#isOver && status >= 200) {
			const raw = controller.rawHeaders as Buffer[] | string[];
			this.#handlers.onStart({status, headers: readRawHeaders(raw)});
		}
	}

	onResponseData(
		_controller: Dispatcher.DispatchController,
		chunk: Buffer,
	): void {
		if (!this.#isOver) {
			this.#handlers.onData(chunk);
		}
	}

	onResponseEnd(): void {
		if (!this.#isOver) {
			this.#isOver = true;
			this.#handlers.onEnd();
		}
	}

	onResponseError(
		_controller: Dispatcher.DispatchController,
		error: NodeJS.ErrnoException,
	): void {
		if (!this.#isOver) {
			this.#isOver = true;
			this.#handlers.onFailure({
				verdict: this.#isSent ? 'may-have-run' : 'not-run',
				code: error.code ?? error.name,
				message: error.message,
			});
		}
	}
}
