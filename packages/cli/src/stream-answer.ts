import type {Readable} from 'node:stream';
import {MarjoramcoveError} from '@marjoramcove/errors';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import type {ApiClient, ApiRequest} from './api-client.ts';
import {createLostResponseError, parseErrorResponse} from './cli-errors.ts';
import type {CommandContext} from './command-context.ts';

const MAX_ATTEMPTS = 6;
const STREAM_TIMEOUT_MS = 60_000;

type Chunk = {
	choices?: Array<{delta?: {content?: string}; message?: {content?: string}}>;
	usage?: Record<string, unknown>;
	error?: Record<string, unknown>;
};

/** A complete answer; `body` is set if the answer was not streamed. */
export type StreamedAnswer = {
	content: string;
	usage?: Record<string, unknown>;
	body?: unknown;
};

type Progress = StreamedAnswer & {lastEventId: string; done: boolean};

const handleEvent = (
	context: CommandContext,
	event: EventSourceMessage,
	progress: Progress,
	show: boolean,
): void => {
	if (event.event === 'restart') {
		if (show && progress.content !== '') {
			context.output.write('\n');
			context.output.writeError('the answer restarts\n');
		}

		progress.content = '';
		return;
	}

	if (event.data === '[DONE]') {
		progress.done = true;
		return;
	}

	const chunk = JSON.parse(event.data) as Chunk;
	if (chunk.error) {
		throw parseErrorResponse(500, event.data);
	}

	const content = chunk.choices?.[0]?.delta?.content ?? '';
	progress.content += content;
	progress.usage = chunk.usage ?? progress.usage;
	progress.lastEventId = event.id ?? progress.lastEventId;
	if (show) {
		context.output.write(content);
	}
};

const readStream = async (
	body: Readable,
	onEvent: (event: EventSourceMessage) => void,
): Promise<void> => {
	const parser = createParser({onEvent});
	const decoder = new TextDecoder();
	for await (const bytes of body) {
		parser.feed(decoder.decode(bytes as Uint8Array, {stream: true}));
	}
};

type StreamRequest = ApiRequest & {showWhileArriving: boolean};

const openStream = async (
	client: ApiClient,
	request: StreamRequest,
	{lastEventId}: Progress,
) =>
	client.openResponse({
		...request,
		idempotent: true,
		timeoutMs: STREAM_TIMEOUT_MS,
		headers: {
			...request.headers,
			...(lastEventId !== '' && {'last-event-id': lastEventId}),
		},
	});

/** Reads events until the stream ends and returns the reason for an early end. */
const readEvents = async (
	context: CommandContext,
	body: Readable,
	progress: Progress,
	show: boolean,
): Promise<string> => {
	try {
		await readStream(body, (event) => {
			handleEvent(context, event, progress, show);
		});
		return 'the stream ended early';
	} catch (error) {
		if (error instanceof MarjoramcoveError) {
			throw error;
		}

		return (error as Error).message;
	}
};

/**
 * Reads a streamed answer. When the connection is lost, sends the request again and continues after the
 * last event; the request id prevents the call from running twice.
 */
export const streamAnswer = async (
	context: CommandContext,
	client: ApiClient,
	request: StreamRequest,
): Promise<StreamedAnswer> => {
	const {showWhileArriving: show} = request;
	const progress: Progress = {content: '', lastEventId: '', done: false};
	let endReason = '';
	for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
		const response = await openStream(client, request, progress);
		if (!String(response.headers['content-type']).includes('event-stream')) {
			return readCompleteAnswer(context, await response.body.text(), request);
		}

		endReason = await readEvents(context, response.body, progress, show);
		if (progress.done) {
			context.output.write(show ? '\n' : '');
			return {content: progress.content, usage: progress.usage};
		}

		context.output.writeError(
			`the connection to ${response.address} was lost; continuing the answer\n`,
		);
	}

	throw createLostResponseError(
		`${request.method} ${request.path}`,
		`${endReason} after ${MAX_ATTEMPTS} attempts`,
		'Try again later with the same request id.',
	);
};

const readCompleteAnswer = (
	context: CommandContext,
	text: string,
	options: Pick<StreamRequest, 'showWhileArriving'>,
): StreamedAnswer => {
	const body = JSON.parse(text) as Chunk;
	const content = body.choices?.[0]?.message?.content;
	if (options.showWhileArriving) {
		context.output.write(`${content ?? text}\n`);
	}

	return {content: content ?? '', usage: body.usage, body};
};
