import type {ServerResponse} from 'node:http';
import type {EngineFault} from './engine-options.ts';

/** A model call in an engine, with its progress and the connections that receive it. */
export type EngineStream = {
	streamId: string;
	programId: string | undefined;
	model: string;
	prompt: string;
	promptTokens: number;
	cachedTokens: number;
	/** Tokens of the prefix that an earlier attempt delivered. */
	prefixTokens: number;
	totalTokens: number;
	/** Prompt tokens that are not computed yet. */
	remainingPrefillTokens: number;
	/** Text generated so far, without the prefix. */
	text: string;
	/** Tokens that are due but not generated yet; may be fractional. */
	dueTokens: number;
	state: 'waiting' | 'running' | 'done' | 'cancelled';
	listeners: Set<StreamListener>;
};

/** Writes a stream to one connection as server-sent events, and applies an injected fault. */
export class StreamListener {
	readonly #response: ServerResponse;
	readonly #fault: EngineFault | undefined;
	readonly #onCrash: () => void;
	#writtenBytes = 0;
	#muted = false;
	#offset: number;

	constructor(
		response: ServerResponse,
		options: {
			offset: number;
			fault?: EngineFault | undefined;
			onCrash: () => void;
		},
	) {
		this.#response = response;
		this.#offset = options.offset;
		this.#fault = options.fault;
		this.#onCrash = options.onCrash;
		response.writeHead(200, {
			'content-type': 'text/event-stream',
			'cache-control': 'no-cache',
		});
		response.flushHeaders();
	}

	/** Sends the text that is new to the connection, and the final event when the stream has ended. */
	update(stream: EngineStream): void {
		if (this.#offset < stream.text.length) {
			const content = stream.text.slice(this.#offset);
			this.#offset = stream.text.length;
			this.#write(
				`id: ${this.#offset}\ndata: ${JSON.stringify(formatChunk(stream, {content}))}\n\n`,
			);
		}

		if (stream.state === 'done' && this.#offset >= stream.text.length) {
			this.#write(
				`id: ${this.#offset}\ndata: ${JSON.stringify({...formatChunk(stream, {}, 'stop'), usage: formatUsage(stream)})}\n\ndata: [DONE]\n\n`,
			);
			this.#end();
		}

		if (stream.state === 'cancelled') {
			this.#write(
				`data: ${JSON.stringify({error: {message: 'The stream was cancelled.', reason: 'cancelled'}})}\n\n`,
			);
			this.#end();
		}
	}

	#end(): void {
		if (!this.#muted) {
			this.#response.end();
		}
	}

	#write(text: string): void {
		if (this.#muted || this.#response.destroyed) {
			return;
		}

		const fault = this.#fault;
		if (
			!fault ||
			fault.kind === 'delay' ||
			this.#writtenBytes + text.length <= fault.bytes
		) {
			this.#writtenBytes += text.length;
			this.#response.write(text);
			return;
		}

		this.#response.write(text.slice(0, fault.bytes - this.#writtenBytes));
		this.#muted = true;
		this.#applyFault(fault.kind);
	}

	#applyFault(kind: EngineFault['kind']): void {
		if (kind === 'malformed-after') {
			this.#response.end('\n\ndata: {"choices": [\n\n');
		}

		// The bytes before the fault must be sent before the connection is destroyed.
		if (kind === 'reset-after') {
			setTimeout(() => this.#response.socket?.resetAndDestroy(), 20);
		}

		if (kind === 'die-after') {
			setTimeout(this.#onCrash, 20);
		}
	}
}

/** Formats a chunk of the OpenAI API. */
export const formatChunk = (
	stream: EngineStream,
	delta: {content?: string},
	finishReason: string | null = null,
): Record<string, unknown> => ({
	id: stream.streamId,
	object: 'chat.completion.chunk',
	model: stream.model,
	choices: [{index: 0, delta, finish_reason: finishReason}],
});

/** Formats the usage of a call; the prefix of an earlier attempt counts as prompt. */
export const formatUsage = (stream: EngineStream) => ({
	prompt_tokens: stream.promptTokens + stream.prefixTokens,
	completion_tokens: Math.ceil(stream.text.length / 4),
	total_tokens:
		stream.promptTokens +
		stream.prefixTokens +
		Math.ceil(stream.text.length / 4),
	prompt_tokens_details: {cached_tokens: stream.cachedTokens},
});
