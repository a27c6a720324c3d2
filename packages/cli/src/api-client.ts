import type {IncomingHttpHeaders} from 'node:http';
import {MarjoramcoveError} from '@marjoramcove/errors';
import {type Dispatcher, request} from 'undici';
import {
	createLostResponseError,
	createUnreachableError,
	parseErrorResponse,
} from './cli-errors.ts';

/** A request to the HTTP API. */
export type ApiRequest = {
	method: 'GET' | 'POST';
	path: string;
	body?: unknown;
	headers?: Record<string, string>;
	/** Whether a retry has no second effect, for example because of an operation id or a request id. */
	idempotent?: boolean;
	timeoutMs?: number;
	/** Sends the request to this address only. */
	address?: string;
};

/** A response with its body still unread, and the address that sent it. */
export type ApiResponse = {
	body: Dispatcher.ResponseData['body'];
	headers: IncomingHttpHeaders;
	address: string;
};

const DEFAULT_TIMEOUT_MS = 30_000;

// Errors from before the connection was established: nothing was sent.
const connectErrorCodes = new Set([
	'ECONNREFUSED',
	'ENOTFOUND',
	'EHOSTUNREACH',
	'UND_ERR_CONNECT_TIMEOUT',
]);

const getErrorCode = (error: unknown): string => {
	const {code, message} = error as {code?: string; message?: string};
	return code ?? message ?? 'unknown error';
};

/**
 * Client of the HTTP API. Moves on to the next address when the connection fails, when the daemon
 * refuses the request without running it, or when the response to an idempotent request is lost.
 *
 * @example
 * ```ts
 * const client = new ApiClient(['127.0.0.1:8101']);
 * const daemons = await client.getJson('/v1/operator/daemons');
 * ```
 */
export class ApiClient {
	readonly #addresses: string[];

	constructor(addresses: string[]) {
		this.#addresses = addresses;
	}

	/** Sends a GET request and parses the JSON response. */
	async getJson<Document>(path: string): Promise<Document> {
		return this.requestJson({method: 'GET', path, idempotent: true});
	}

	/** Sends a request and parses the JSON response; an empty body becomes `{}`. */
	async requestJson<Document>(options: ApiRequest): Promise<Document> {
		return this.#tryAddresses(options, async (address) => {
			const response = await this.#send(address, options);
			const text = await response.body.text();
			return (text === '' ? {} : JSON.parse(text)) as Document;
		});
	}

	/** Sends a request and returns the response with its body unread. */
	async openResponse(options: ApiRequest): Promise<ApiResponse> {
		return this.#tryAddresses(options, async (address) =>
			this.#send(address, options),
		);
	}

	async #tryAddresses<Result>(
		options: ApiRequest,
		attempt: (address: string) => Promise<Result>,
	): Promise<Result> {
		const triedAddresses: string[] = [];
		let refusal: MarjoramcoveError | undefined;
		let lostResponse: string | undefined;
		const addresses = options.address ? [options.address] : this.#addresses;
		for (const address of addresses) {
			try {
				return await attempt(address);
			} catch (error) {
				if (error instanceof MarjoramcoveError) {
					if (!isRetryableElsewhere(error)) {
						throw error;
					}

					refusal = error;
				} else if (!connectErrorCodes.has(getErrorCode(error))) {
					lostResponse = `${address}: ${getErrorCode(error)}`;
					if (!options.idempotent) {
						break;
					}
				}

				triedAddresses.push(`${address} (${getErrorCode(error)})`);
			}
		}

		if (lostResponse !== undefined && options.method !== 'GET') {
			throw createLostResponseError(
				`${options.method} ${options.path}`,
				lostResponse,
				'Read the current state before you retry the command.',
			);
		}

		throw refusal ?? createUnreachableError(triedAddresses);
	}

	async #send(address: string, options: ApiRequest): Promise<ApiResponse> {
		const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
		const response = await request(`http://${address}${options.path}`, {
			method: options.method,
			headers: {
				...(options.body !== undefined && {
					'content-type': 'application/json',
				}),
				...options.headers,
			},
			...(options.body !== undefined && {body: JSON.stringify(options.body)}),
			headersTimeout: timeoutMs,
			bodyTimeout: timeoutMs,
		});
		if (response.statusCode >= 400) {
			throw parseErrorResponse(response.statusCode, await response.body.text());
		}

		return {body: response.body, headers: response.headers, address};
	}
}

// Every daemon refuses these requests, so no other address is tried.
const nonRetryableReasons = new Set([
	'invalid-input',
	'revision-conflict',
	'request-too-large',
	'request-id-reused',
	'program-unknown',
	'program-ended',
	'no-selector-matches',
	'turn-limit',
	'token-budget',
	'wall-time-limit',
	'unexpected-answer',
]);

const isRetryableElsewhere = (error: MarjoramcoveError): boolean =>
	error.verdict === 'not-run' && !nonRetryableReasons.has(error.reason);
