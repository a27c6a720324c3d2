import {createParser} from 'eventsource-parser';
import {type Dispatcher, request} from 'undici';

/** Result of a streamed call. `complete` is true only after `[DONE]`. */
export type StreamResult = {
	status: number;
	text: string;
	complete: boolean;
	/** Event id of the last chunk. */
	lastEventId: string;
	restarted: boolean;
	usage?: Record<string, unknown>;
	/** Error sent by the daemon, or `connection-lost` when the connection failed. */
	error?: {reason: string; verdict?: string; message: string};
};

/** A streamed call in progress; `current` is updated as chunks arrive. */
export type StreamedCall = {
	current: StreamResult;
	finished: Promise<StreamResult>;
	/** Closes the connection. */
	abort: () => void;
};

type StreamRequest = {
	method: 'GET' | 'POST';
	url: string;
	headers: Record<string, string>;
	body?: string;
	timeoutMs: number;
};

type Chunk = {
	choices?: Array<{delta?: {content?: string}}>;
	usage?: Record<string, unknown>;
	error?: StreamResult['error'];
};

const readChunk = (result: StreamResult, data: string): void => {
	if (data === '[DONE]') {
		result.complete = true;
		return;
	}

	const chunk = JSON.parse(data) as Chunk;
	result.text += chunk.choices?.[0]?.delta?.content ?? '';
	result.usage = chunk.usage ?? result.usage;
	result.error = chunk.error ?? result.error;
};

const createReader = (result: StreamResult) =>
	createParser({
		onEvent(event) {
			if (event.event === 'restart') {
				result.restarted = true;
				result.text = '';
				return;
			}

			readChunk(result, event.data);
			result.lastEventId = event.id ?? result.lastEventId;
		},
	});

const readStream = async (
	agent: Dispatcher,
	options: StreamRequest,
	result: StreamResult,
	signal: AbortSignal,
): Promise<void> => {
	const answer = await request(options.url, {
		method: options.method,
		dispatcher: agent,
		headers: options.headers,
		...(options.body !== undefined && {body: options.body}),
		headersTimeout: options.timeoutMs,
		bodyTimeout: options.timeoutMs,
		signal,
	});
	result.status = answer.statusCode;
	if (!String(answer.headers['content-type']).includes('event-stream')) {
		const text = await answer.body.text();
		const body = JSON.parse(text) as Chunk;
		result.error = body.error ?? {
			reason: 'not-a-stream',
			message: text.slice(0, 500),
		};
		return;
	}

	const reader = createReader(result);
	const decoder = new TextDecoder();
	for await (const bytes of answer.body) {
		reader.feed(decoder.decode(bytes as Uint8Array, {stream: true}));
	}
};

/** Starts a request whose response is a stream of server-sent events; `finished` never rejects. */
export const startStreamedCall = (
	agent: Dispatcher,
	options: StreamRequest,
): StreamedCall => {
	const controller = new AbortController();
	const result: StreamResult = {
		status: 0,
		text: '',
		complete: false,
		lastEventId: '',
		restarted: false,
	};
	const run = async (): Promise<StreamResult> => {
		try {
			await readStream(agent, options, result, controller.signal);
		} catch (error) {
			result.error = {
				reason: 'connection-lost',
				message: (error as Error).message,
			};
		}

		return result;
	};

	return {
		current: result,
		finished: run(),
		abort() {
			controller.abort();
		},
	};
};
