import type {ServerResponse} from 'node:http';
import {MarjoramcoveError} from '@marjoramcove/errors';
import type {AnswerObserver} from './answer-delivery.ts';
import type {CallResult} from './call-follower.ts';
import {toCallerErrorBody} from './http-responses.ts';

export type SseResponseOptions = {
	id: string;
	model: string;
	headers: Record<string, string>;
	heartbeatMs: number;
	/** Whether the caller understands the event `restart`; standard OpenAI API clients do not. */
	acceptsRestart: boolean;
	/** Unsent bytes above which the connection of a slow caller is closed; the caller can resume. */
	maxBufferedBytes: number;
	onSlowCaller: () => void;
};

/** Streams the answer of a model call as server-sent events in the format of the OpenAI API. */
export class SseResponse implements AnswerObserver {
	readonly #response: ServerResponse;
	readonly #options: SseResponseOptions;
	#timer: NodeJS.Timeout | undefined;
	#lastEventId = '';
	#isTerminated = false;

	constructor(response: ServerResponse, options: SseResponseOptions) {
		this.#response = response;
		this.#options = options;
	}

	/** Whether the status has been sent, so that an error can only be sent as an event. */
	get isOpen(): boolean {
		return this.#response.headersSent;
	}

	/** Starts the heartbeats; the status is sent with the first byte. */
	onGranted(): void {
		this.#timer = setInterval(() => {
			this.#write(': heartbeat\n\n');
		}, this.#options.heartbeatMs);
	}

	onText(text: string, position: {attempt: number; offset: number}): void {
		this.#lastEventId = `${position.attempt}:${position.offset}`;
		this.#writeEvent(this.#createChunk({content: text}, null));
	}

	/**
	 * Tells the caller to discard the text sent so far. A caller that does not accept restarts would append
	 * the new text to it, and gets an error instead.
	 */
	onRestart(): void {
		if (this.#options.acceptsRestart) {
			this.#write('event: restart\ndata: {}\n\n');
			return;
		}

		this.fail(
			new MarjoramcoveError(
				'A new attempt produced an answer that does not continue the text sent so far.',
				{
					reason: 'answer-restarted',
					verdict: 'may-have-run',
					hint: 'Discard the text and send the request again with the same request id.',
				},
			),
		);
		this.#isTerminated = true;
	}

	/** Sends the last chunk with the token usage, then the end-of-stream marker. */
	finish(call: CallResult): void {
		if (call.toolCalls) {
			this.#writeEvent(this.#createChunk({tool_calls: call.toolCalls}, null));
		}

		this.#writeEvent({
			...this.#createChunk({}, call.finishReason),
			...(call.usage && {usage: call.usage}),
		});
		this.#write('data: [DONE]\n\n');
	}

	/** Sends an error as the last event. */
	fail(error: unknown): void {
		this.#writeEvent({error: toCallerErrorBody(error)});
	}

	/** Ends the response if it has been started. */
	close(): void {
		clearInterval(this.#timer);
		if (this.isOpen) {
			this.#response.end();
		}
	}

	#createChunk(delta: Record<string, unknown>, finishReason: string | null) {
		return {
			id: this.#options.id,
			object: 'chat.completion.chunk',
			created: Math.floor(Date.now() / 1000),
			model: this.#options.model,
			choices: [{index: 0, delta, finish_reason: finishReason}],
		};
	}

	#writeEvent(data: Record<string, unknown>): void {
		const id = this.#lastEventId === '' ? '' : `id: ${this.#lastEventId}\n`;
		this.#write(`${id}data: ${JSON.stringify(data)}\n\n`);
	}

	#write(text: string): void {
		const response = this.#response;
		if (response.destroyed || this.#isTerminated) {
			return;
		}

		if (!response.headersSent) {
			response.writeHead(200, {
				'content-type': 'text/event-stream',
				'cache-control': 'no-cache',
				...this.#options.headers,
			});
		}

		response.write(text);
		if (response.writableLength > this.#options.maxBufferedBytes) {
			this.#options.onSlowCaller();
			response.destroy();
		}
	}
}
