import type {ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import {MarjoramcoveError} from '@marjoramcove/errors';
import {Agent, request as sendRequest} from 'undici';
import {isUnsent} from '../dispatcher/upstream-errors.ts';
import {createRefusedError} from '../daemon-context.ts';
import type {EntryCore} from './entry-core.ts';
import type {HttpRequest} from './http-responses.ts';

/** Hop-by-hop headers, and headers that the HTTP client sets itself. */
const unforwardedHeaders = new Set([
	'connection',
	'content-length',
	'expect',
	'host',
	'keep-alive',
	'transfer-encoding',
	'upgrade',
]);

/** Header that marks a forwarded request, so that it is not forwarded again. */
export const forwardedHeader = 'x-marjoramcove-forwarded';

/** Forwards requests that arrive during a drain to other daemons. */
export class RequestForwarder {
	readonly #core: EntryCore;
	readonly #agent = new Agent({headersTimeout: 0, bodyTimeout: 0});

	constructor(core: EntryCore) {
		this.#core = core;
	}

	async close(): Promise<void> {
		await this.#agent.destroy();
	}

	/**
	 * Sends the request once, to the first daemon that accepts the connection.
	 *
	 * @throws RefusedError `no-other-daemon` when none accepts it; MarjoramcoveError `forward-lost` when the
	 * connection failed after the other daemon may have read the request.
	 */
	async forward(request: HttpRequest, response: ServerResponse): Promise<void> {
		for (const address of this.#core.configuration.otherAddresses()) {
			try {
				await this.#send(address, request, response);
				return;
			} catch (error) {
				if (response.headersSent) {
					response.destroy();
					return;
				}

				if (!isUnsent(error)) {
					throw new MarjoramcoveError(
						`The connection to the daemon at ${address} was lost during the request.`,
						{
							reason: 'forward-lost',
							verdict: 'may-have-run',
							hint: 'Send the request again with the same request id.',
						},
					);
				}

				this.#core.context.retries.increment({
					step: 'forward',
					reason: 'peer-unreachable',
				});
			}
		}

		throw createRefusedError(
			'no-other-daemon',
			'This daemon is draining and no other daemon could be reached.',
			'Ask any daemon for current addresses with GET /v1/addresses.',
		);
	}

	async #send(
		address: string,
		request: HttpRequest,
		response: ServerResponse,
	): Promise<void> {
		const headers = Object.fromEntries(
			Object.entries(request.headers).filter(
				([name]) => !unforwardedHeaders.has(name),
			),
		);
		const peerResponse = await sendRequest(`http://${address}${request.url}`, {
			method: request.method as 'GET' | 'POST',
			dispatcher: this.#agent,
			headers: {...headers, [forwardedHeader]: '1'},
			...(request.rawBody.length > 0 && {body: request.rawBody}),
		});
		const responseHeaders = Object.entries(peerResponse.headers).filter(
			([name]) => !unforwardedHeaders.has(name),
		);
		response.writeHead(
			peerResponse.statusCode,
			Object.fromEntries(responseHeaders),
		);
		await pipeline(peerResponse.body, response);
	}
}
