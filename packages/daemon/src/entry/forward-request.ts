import type {ServerResponse} from 'node:http';
import {pipeline} from 'node:stream/promises';
import {MarjoramcoveError} from '@marjoramcove/errors';
import {Agent, request as sendRequest} from 'undici';
import {isUnsent} from '../dispatcher/upstream-errors.ts';
import {refusal} from '../daemon-context.ts';
import type {EntryCore} from './entry-core.ts';
import type {HttpRequest} from './http-answers.ts';

const hopHeaders = new Set([
	'connection',
	'content-length',
	'expect',
	'host',
	'keep-alive',
	'transfer-encoding',
	'upgrade',
]);

/** Header that marks a forwarded request, so that it is forwarded only once. */
export const forwardedHeader = 'x-marjoramcove-forwarded';

/** Passes requests that arrive during a drain to other daemons. */
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
	 * Sends the request to the first daemon that takes the connection, once.
	 *
	 * @throws RefusedError `no-other-daemon` when none does; MarjoramcoveError `forward-lost` when the
	 * other daemon was lost after it may have read the request.
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
						`The daemon at ${address} was lost during the request.`,
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

		throw refusal(
			'no-other-daemon',
			'This daemon is leaving and no other one was reached.',
			'Ask any daemon for addresses.',
		);
	}

	async #send(
		address: string,
		request: HttpRequest,
		response: ServerResponse,
	): Promise<void> {
		const headers = Object.fromEntries(
			Object.entries(request.headers).filter(([name]) => !hopHeaders.has(name)),
		);
		const answer = await sendRequest(`http://${address}${request.url}`, {
			method: request.method as 'GET' | 'POST',
			dispatcher: this.#agent,
			headers: {...headers, [forwardedHeader]: '1'},
			...(request.rawBody.length > 0 && {body: request.rawBody}),
		});
		const answerHeaders = Object.entries(answer.headers).filter(
			([name]) => !hopHeaders.has(name),
		);
		response.writeHead(answer.statusCode, Object.fromEntries(answerHeaders));
		await pipeline(answer.body, response);
	}
}
