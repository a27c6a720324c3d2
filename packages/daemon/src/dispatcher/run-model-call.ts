import {setTimeout as sleep} from 'node:timers/promises';
import {createParser} from 'eventsource-parser';
import {readBody} from '@marjoramcove/upstream-http';
import {type Dispatcher, request} from 'undici';
import {attemptKey, type Usage} from '../call-contracts.ts';
import type {DaemonContext} from '../daemon-context.ts';
import {assembleChatMessages} from './assemble-chat-messages.ts';
import type {AttemptResult, CallRun} from './call-run.ts';
import {errorCodeOf, isUnsent} from './upstream-errors.ts';

/** How an attempt at an upstream ended. */
export type AttemptEnd =
	{type: 'done'; result: AttemptResult} | {type: 'lost'; reason: string};

type Chunk = {
	choices?: Array<{
		delta?: {content?: string | null; tool_calls?: unknown[]};
		finish_reason?: string | null;
	}>;
	usage?: Usage;
	error?: {message?: string; reason?: string};
};

type StreamProgress = {
	finishReason?: string;
	toolCalls: unknown[];
	usage?: Usage;
	isDone: boolean;
	failureReason?: string;
};

type EngineCall = {
	context: DaemonContext;
	dispatcher: Dispatcher;
	address: string;
	run: CallRun;
};

const resumeDelayMs = 100;

/** Maximum size of the body of an engine's error. */
const maxErrorBytes = 64 * 1024;

/** Maximum number of bytes between the ends of two events of a stream. */
const maxEventBytes = 1024 * 1024;

const applyChunk = (
	run: CallRun,
	progress: StreamProgress,
	data: string,
): void => {
	if (data === '[DONE]') {
		progress.isDone = progress.finishReason !== undefined;
		return;
	}

	const chunk = JSON.parse(data) as Chunk;
	if (chunk.error) {
		progress.failureReason = chunk.error.reason ?? 'engine-error';
		return;
	}

	const choice = chunk.choices?.[0];
	if (choice?.delta?.content) {
		run.append(choice.delta.content);
	}

	progress.toolCalls.push(...(choice?.delta?.tool_calls ?? []));
	progress.finishReason = choice?.finish_reason ?? progress.finishReason;
	progress.usage = chunk.usage ?? progress.usage;
};

const readStream = async (
	run: CallRun,
	progress: StreamProgress,
	body: Dispatcher.ResponseData['body'],
	answerSizeBytes: number,
): Promise<void> => {
	let unfinishedBytes = 0;
	const parser = createParser({
		onEvent(event) {
			unfinishedBytes = 0;
			if (progress.failureReason === undefined) {
				try {
					applyChunk(run, progress, event.data);
				} catch {
					progress.failureReason = 'malformed-stream';
				}
			}
		},
	});
	const decoder = new TextDecoder();
	for await (const bytes of body) {
		unfinishedBytes += (bytes as Uint8Array).length;
		parser.feed(decoder.decode(bytes as Uint8Array, {stream: true}));
		if (unfinishedBytes > maxEventBytes || run.text.length > answerSizeBytes) {
			progress.failureReason = 'answer-too-large';
		}

		if (progress.failureReason !== undefined) {
			body.destroy();
			return;
		}
	}
};

const openStream = async (
	{context, dispatcher, address, run}: EngineCall,
	isResumed: boolean,
): Promise<Dispatcher.ResponseData> => {
	const {grant, payload} = run;
	const streamId = attemptKey(grant);
	const {streamSilenceMs} = context.settings.timing;
	const options = {
		dispatcher,
		signal: run.abortController.signal,
		headersTimeout: streamSilenceMs,
		bodyTimeout: streamSilenceMs,
	};
	if (isResumed) {
		const offset = run.text.length - payload.prefix.length;
		return request(
			`${address}/v1/streams/${encodeURIComponent(streamId)}?offset=${offset}`,
			{...options, method: 'GET'},
		);
	}

	return request(`${address}/v1/chat/completions`, {
		...options,
		method: 'POST',
		headers: {'content-type': 'application/json', 'x-stream-id': streamId},
		body: JSON.stringify({
			...(payload.parameters as Record<string, unknown>),
			model: 'model' in grant.target ? grant.target.model : '',
			messages: assembleChatMessages(payload.messages),
			stream: true,
			stream_options: {include_usage: true},
			max_tokens: grant.maxTokens,
			program_id: grant.programId,
			stream_id: streamId,
			...(payload.prefix !== '' && {prefix: payload.prefix}),
		}),
	});
};

const toResult = (run: CallRun, progress: StreamProgress): AttemptResult => ({
	outcome: {
		status: 'answered',
		verdict: 'ran',
		contentType: 'text/event-stream',
	},
	content: run.text,
	finishReason: progress.finishReason ?? 'stop',
	...(progress.toolCalls.length > 0 && {toolCalls: progress.toolCalls}),
	...(progress.usage && {usage: progress.usage}),
});

const createRefusedEnd = (statusCode: number, text: string): AttemptEnd => ({
	type: 'done',
	result: {
		outcome: {
			status: 'failed',
			verdict: 'not-run',
			reason: 'engine-refused',
			message: `The engine answered ${statusCode}: ${text.slice(0, 300)}`,
		},
		content: '',
		finishReason: 'error',
	},
});

/** Status codes of an engine that cannot serve the call now, while another engine may. */
const retryElsewhereStatuses = new Set([
	404, 408, 429, 499, 500, 502, 503, 504,
]);

const readAnswer = async (
	call: EngineCall,
	progress: StreamProgress,
	isResumed: boolean,
): Promise<AttemptEnd | undefined> => {
	const {statusCode, body} = await openStream(call, isResumed);
	if (statusCode === 200) {
		const {answerSizeBytes} = call.context.settings.limits;
		await readStream(call.run, progress, body, answerSizeBytes);
		return progress.isDone
			? {type: 'done', result: toResult(call.run, progress)}
			: undefined;
	}

	const text = await readBody(body, maxErrorBytes);
	// The stream exists already when an earlier request arrived but its response was lost.
	if (statusCode === 409 && !isResumed) {
		return undefined;
	}

	if (isResumed || retryElsewhereStatuses.has(statusCode)) {
		return {
			type: 'lost',
			reason: isResumed ? 'stream-unknown' : `engine-status-${statusCode}`,
		};
	}

	return createRefusedEnd(statusCode, text.toString());
};

/**
 * Sends a model call to an engine once and reads its stream. A silent or broken connection is replaced,
 * and the stream resumes at the offset that was reached.
 */
export const runModelCall = async (call: EngineCall): Promise<AttemptEnd> => {
	const {run, context} = call;
	const progress: StreamProgress = {toolCalls: [], isDone: false};
	for (let attempt = 0; performance.now() < run.deadlineMs; attempt++) {
		let reason: string;
		try {
			const end = await readAnswer(call, progress, attempt > 0);
			if (end) {
				return end;
			}

			reason = progress.failureReason ?? 'stream-ended-early';
			if (progress.failureReason === 'cancelled') {
				return {type: 'lost', reason: 'engine-cancelled'};
			}

			if (progress.failureReason === 'answer-too-large') {
				// The engine would send the same again.
				return {type: 'lost', reason: 'answer-too-large'};
			}

			progress.failureReason = undefined;
		} catch (error) {
			if (run.abortController.signal.aborted || isUnsent(error)) {
				return {
					type: 'lost',
					reason: run.abortController.signal.aborted
						? 'cancelled'
						: 'engine-unreachable',
				};
			}

			reason = errorCodeOf(error).includes('TIMEOUT')
				? 'stream-silent'
				: 'connection-broken';
		}

		context.retries.increment({step: 'engine-stream', reason});
		context.logger.info({
			event: 'engine-stream-resumed',
			programId: run.grant.programId,
			requestId: run.grant.requestId,
			upstream: run.grant.upstreamId,
			reason,
			offset: run.text.length,
		});
		await sleep(resumeDelayMs);
	}

	return {type: 'lost', reason: 'call-timeout'};
};

/** Cancels a stream at its engine, so that it no longer uses a slot and memory. */
export const cancelStream = async ({
	dispatcher,
	address,
	run,
}: Omit<EngineCall, 'context'>): Promise<void> => {
	const {body} = await request(
		`${address}/v1/streams/${encodeURIComponent(attemptKey(run.grant))}`,
		{
			method: 'DELETE',
			dispatcher,
			headersTimeout: 2000,
			bodyTimeout: 2000,
			signal: AbortSignal.timeout(2000),
		},
	);
	await body.dump();
};
