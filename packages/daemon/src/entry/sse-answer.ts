import type {ServerResponse} from 'node:http';
import {MarjoramcoveError} from '@marjoramcove/errors';
import type {AnswerReader} from './answer-delivery.ts';
import type {FollowedCall} from './call-follower.ts';
import {toCallerError} from './http-answers.ts';

export type SseOptions = {
	id: string;
	model: string;
	headers: Record<string, string>;
	heartbeatMs: number;
	/** Whether the caller understands the event `restart`; clients of the plain OpenAI API do not. */
	acceptsRestart: boolean;
	/** Unsent bytes above which the connection of a slow caller is closed; it can resume. */
	maxBufferedBytes: number;
	onSlowCaller: () => void;
};

/** Answer of a model call as server-sent events in the form of the OpenAI API. */
export class SseAnswer implements AnswerReader {
	readonly #response: ServerResponse;
	readonly #options: SseOptions;
	#timer: NodeJS.Timeout | undefined;
	#lastId = '';
	#isBroken = false;

	constructor(response: ServerResponse, options: SseOptions) {
		this.#response = response;
		this.#options = options;
	}

	/** Whether the status has been sent, so that an error can only be an event. */
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
		this.#lastId = `${position.attempt}:${position.offset}`;
		this.#event(this.#chunk({content: text}, null));
	}

	/** The text sent so far is void. A caller that would append the new text to it gets an error instead. */
	onRestart(): void {
		if (this.#options.acceptsRestart) {
			this.#write('event: restart\ndata: {}\n\n');
			return;
		}

		this.fail(
			new MarjoramcoveError(
				'Another attempt gave an answer that does not continue the text sent so far.',
				{
					reason: 'answer-restarted',
					verdict: 'may-have-run',
					hint: 'Discard the text and send the request again with the same request id.',
				},
			),
		);
		this.#isBroken = true;
	}

	/** Sends the last chunk with usage, then the end mark. */
	finish(call: FollowedCall): void {
		if (call.toolCalls) {
			this.#event(this.#chunk({tool_calls: call.toolCalls}, null));
		}

		this.#event({
			...this.#chunk({}, call.finishReason),
			...(call.usage && {usage: call.usage}),
		});
		this.#write('data: [DONE]\n\n');
	}

	/** Sends an error as the last event. */
	fail(error: unknown): void {
		this.#event({error: toCallerError(error)});
	}

	/** Ends the response if it has begun. */
	close(): void {
		clearInterval(this.#timer);
		if (this.isOpen) {
			this.#response.end();
		}
	}

	#chunk(delta: Record<string, unknown>, finishReason: string | null) {
		return {
			id: this.#options.id,
			object: 'chat.completion.chunk',
			created: Math.floor(Date.now() / 1000),
			model: this.#options.model,
			choices: [{index: 0, delta, finish_reason: finishReason}],
		};
	}

	#event(data: Record<string, unknown>): void {
		const id = this.#lastId === '' ? '' : `id: ${this.#lastId}\n`;
		this.#write(`${id}data: ${JSON.stringify(data)}\n\n`);
	}

	#write(text: string): void {
		const response = this.#response;
		if (response.destroyed || this.#isBroken) {
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
