import type {IncomingHttpHeaders} from 'node:http';
import {MarjoramcoveError} from '@marjoramcove/errors';
import {type Dispatcher, request} from 'undici';
import {
	createLostAnswerError,
	createUnreachableError,
	parseErrorAnswer,
} from './cli-errors.ts';

/** A request to the HTTP API. */
export type ApiRequest = {
	method: 'GET' | 'POST';
	path: string;
	body?: unknown;
	headers?: Record<string, string>;
	/** Whether a repetition has no second effect, as with an operation id or a request id. */
	repeatable?: boolean;
	timeoutMs?: number;
	/** Uses only this address. */
	address?: string;
};

export type ApiAnswer = {
	body: Dispatcher.ResponseData['body'];
	headers: IncomingHttpHeaders;
	address: string;
};

const DEFAULT_TIMEOUT_MS = 30_000;

// The connection was never made, so nothing was sent.
const unsentCodes = new Set([
	'ECONNREFUSED',
	'ENOTFOUND',
	'EHOSTUNREACH',
	'UND_ERR_CONNECT_TIMEOUT',
]);

const readCode = (error: unknown): string => {
	const {code, message} = error as {code?: string; message?: string};
	return code ?? message ?? 'unknown error';
};

/**
 * Client of the HTTP API. Tries the addresses in turn: when no connection is made, when the daemon
 * refuses the request as not run, and when the answer to a repeatable request is lost.
 *
 * @example
 * ```ts
 * const client = new ApiClient(['127.0.0.1:8101']);
 * const daemons = await client.read('/v1/operator/daemons');
 * ```
 */
export class ApiClient {
	readonly #addresses: string[];

	constructor(addresses: string[]) {
		this.#addresses = addresses;
	}

	/** Reads a JSON document. */
	async read<Document>(path: string): Promise<Document> {
		return this.json({method: 'GET', path, repeatable: true});
	}

	/** Sends a request and reads the JSON answer. */
	async json<Document>(options: ApiRequest): Promise<Document> {
		return this.#tryAddresses(options, async (address) => {
			const answer = await this.#send(address, options);
			const text = await answer.body.text();
			return (text === '' ? {} : JSON.parse(text)) as Document;
		});
	}

	/** Sends a request and returns the answer with its body still to be read. */
	async open(options: ApiRequest): Promise<ApiAnswer> {
		return this.#tryAddresses(options, async (address) =>
			this.#send(address, options),
		);
	}

	async #tryAddresses<Result>(
		options: ApiRequest,
		attempt: (address: string) => Promise<Result>,
	): Promise<Result> {
		const tried: string[] = [];
		let refusal: MarjoramcoveError | undefined;
		let lost: string | undefined;
		const addresses = options.address ? [options.address] : this.#addresses;
		for (const address of addresses) {
			try {
				return await attempt(address);
			} catch (error) {
				if (error instanceof MarjoramcoveError) {
					if (!isWorthAnotherAddress(error)) {
						throw error;
					}

					refusal = error;
				} else if (!unsentCodes.has(readCode(error))) {
					lost = `${address}: ${readCode(error)}`;
					if (!options.repeatable) {
						break;
					}
				}

				tried.push(`${address} (${readCode(error)})`);
			}
		}

		if (lost !== undefined && options.method !== 'GET') {
			throw createLostAnswerError(
				`${options.method} ${options.path}`,
				lost,
				'Read the current state before you repeat the command.',
			);
		}

		throw refusal ?? createUnreachableError(tried);
	}

	async #send(address: string, options: ApiRequest): Promise<ApiAnswer> {
		const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
		const answer = await request(`http://${address}${options.path}`, {
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
		if (answer.statusCode >= 400) {
			throw parseErrorAnswer(answer.statusCode, await answer.body.text());
		}

		return {body: answer.body, headers: answer.headers, address};
	}
}

// Other daemons give the same answer to bad input and to conflicts.
const finalReasons = new Set([
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

const isWorthAnotherAddress = (error: MarjoramcoveError): boolean =>
	error.verdict === 'not-run' && !finalReasons.has(error.reason);
