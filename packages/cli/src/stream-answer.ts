import type {Readable} from 'node:stream';
import {MarjoramcoveError} from '@marjoramcove/errors';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import type {ApiClient, ApiRequest} from './api-client.ts';
import {createLostAnswerError, parseErrorAnswer} from './cli-errors.ts';
import type {CommandContext} from './command-context.ts';

const MAX_ATTEMPTS = 6;
const STREAM_TIMEOUT_MS = 60_000;

type Chunk = {
	choices?: Array<{delta?: {content?: string}; message?: {content?: string}}>;
	usage?: Record<string, unknown>;
	error?: Record<string, unknown>;
};

/** A whole answer; `body` is set when the answer was not a stream. */
export type StreamedAnswer = {
	content: string;
	usage?: Record<string, unknown>;
	body?: unknown;
};

type Progress = StreamedAnswer & {lastEventId: string; done: boolean};

const readEvent = (
	context: CommandContext,
	event: EventSourceMessage,
	progress: Progress,
	show: boolean,
): void => {
	if (event.event === 'restart') {
		if (show && progress.content !== '') {
			context.output.write('\n');
			context.output.writeError('the answer starts again\n');
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
		throw parseErrorAnswer(500, event.data);
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
	client.open({
		...request,
		repeatable: true,
		timeoutMs: STREAM_TIMEOUT_MS,
		headers: {
			...request.headers,
			...(lastEventId !== '' && {'last-event-id': lastEventId}),
		},
	});

/** Reads events until the stream ends; returns why it broke, if it did. */
const readEvents = async (
	context: CommandContext,
	body: Readable,
	progress: Progress,
	show: boolean,
): Promise<string> => {
	try {
		await readStream(body, (event) => {
			readEvent(context, event, progress, show);
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
 * Reads an answer as a stream. When the connection is lost, continues on the next address from the
 * last event; the request id keeps the call from running twice.
 */
export const streamAnswer = async (
	context: CommandContext,
	client: ApiClient,
	request: StreamRequest,
): Promise<StreamedAnswer> => {
	const {showWhileArriving: show} = request;
	const progress: Progress = {content: '', lastEventId: '', done: false};
	let failure = '';
	for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
		const answer = await openStream(client, request, progress);
		if (!String(answer.headers['content-type']).includes('event-stream')) {
			return readWhole(context, await answer.body.text(), request);
		}

		failure = await readEvents(context, answer.body, progress, show);
		if (progress.done) {
			context.output.write(show ? '\n' : '');
			return {content: progress.content, usage: progress.usage};
		}

		context.output.writeError(
			`the connection to ${answer.address} was lost; continuing the answer\n`,
		);
	}

	throw createLostAnswerError(
		`${request.method} ${request.path}`,
		`${failure} after ${MAX_ATTEMPTS} attempts`,
		'Try again later with the same request id.',
	);
};

const readWhole = (
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
