import type {Readable} from 'node:stream';
import {MarjoramcoveError} from '@marjoramcove/errors';
import {createParser, type EventSourceMessage} from 'eventsource-parser';
import type {ApiClient, ApiRequest} from './api-client.ts';
import {createLostAnswerError, parseErrorAnswer} from './cli-errors.ts';
import type {CommandContext} from './command-context.ts';

const MAX_ATTEMPTS = 6;

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

/**
 * Reads an answer as a stream. When the connection is lost, continues on the next address from the
 * last event; the request id keeps the call from running twice.
 */
export const streamAnswer = async (
	context: CommandContext,
	client: ApiClient,
	options: ApiRequest & {showWhileArriving: boolean},
): Promise<StreamedAnswer> => {
	const progress: Progress = {content: '', lastEventId: '', done: false};
	let failure = 'the stream ended early';
	for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
		const answer = await client.open({
			...options,
			repeatable: true,
			timeoutMs: 60_000,
			headers: {
				...options.headers,
				...(progress.lastEventId !== '' && {
					'last-event-id': progress.lastEventId,
				}),
			},
		});
		if (!String(answer.headers['content-type']).includes('event-stream')) {
			return readWhole(context, await answer.body.text(), options);
		}

		try {
			await readStream(answer.body, (event) => {
				readEvent(context, event, progress, options.showWhileArriving);
			});
		} catch (error) {
			if (error instanceof MarjoramcoveError) {
				throw error;
			}

			failure = (error as Error).message;
		}

		if (progress.done) {
			if (options.showWhileArriving) {
				context.output.write('\n');
			}

			return {content: progress.content, usage: progress.usage};
		}

		context.output.writeError(
			`the connection to ${answer.address} was lost; continuing the answer\n`,
		);
	}

	throw createLostAnswerError(
		`${options.method} ${options.path}`,
		`${failure} after ${MAX_ATTEMPTS} attempts`,
		'Try again later with the same request id.',
	);
};

const readWhole = (
	context: CommandContext,
	text: string,
	options: {showWhileArriving: boolean},
): StreamedAnswer => {
	const body = JSON.parse(text) as Chunk;
	const content = body.choices?.[0]?.message?.content;
	if (options.showWhileArriving) {
		context.output.write(`${content ?? text}\n`);
	}

	return {content: content ?? '', usage: body.usage, body};
};
