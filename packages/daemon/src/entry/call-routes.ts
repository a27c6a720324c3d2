import type {ServerResponse} from 'node:http';
import {
	MarjoramcoveError,
	ValidationError,
	messageOf,
	reasonOf,
} from '@marjoramcove/errors';
import type {ProgramId} from '@marjoramcove/types';
import * as z from 'zod';
import {
	type AcceptInput,
	acceptSchema,
	type Target,
} from '../call-contracts.ts';
import {messageMarker} from '../dispatcher/assemble-chat-messages.ts';
import type {AnswerObserver, ResumePosition} from './answer-delivery.ts';
import {type CallResult, WHOLE_ANSWER_COALESCE_MS} from './call-follower.ts';
import {resolveRequestId, type EntryCore, hashRequest} from './entry-core.ts';
import {
	type Handler,
	headerOf,
	type HttpRequest,
	parseBody,
	sendJson,
} from './http-responses.ts';
import {decodeAnswer, encodeMessage} from './message-codec.ts';
import {SseResponse} from './sse-response.ts';

const messageSchema = z.looseObject({
	role: z.enum([
		'system',
		'user',
		'assistant',
		'tool',
		'developer',
		'function',
	]),
	content: z.union([z.string(), z.array(z.unknown()), z.null()]).optional(),
});

const completionSchema = z.looseObject({
	model: z.string().min(1).max(200),
	messages: z.array(messageSchema).min(1).max(10_000),
	stream: z.boolean().nullish(),
	max_tokens: z.int().min(1).nullish(),
	max_completion_tokens: z.int().min(1).nullish(),
});

/** Request fields that are not passed to the engine as parameters. */
const handledFields = new Set([
	'model',
	'messages',
	'stream',
	'stream_options',
	'max_tokens',
	'max_completion_tokens',
	'program_id',
	'stream_id',
	'prefix',
]);

/** Program of a call. A call that names none gets an implicit program, which ends with the call. */
type CallProgram = {programId: ProgramId; isImplicit: boolean};

const resolveProgram = async (
	core: EntryCore,
	request: HttpRequest,
): Promise<CallProgram> => {
	const header = headerOf(request, 'x-marjoramcove-program');
	if (header !== undefined) {
		return {programId: core.parseProgramId(header), isImplicit: false};
	}

	const {programId} = await core.openProgram({
		labels: {},
		callerId: headerOf(request, 'x-marjoramcove-caller') ?? 'anonymous',
	});
	return {programId, isImplicit: true};
};

const endImplicitProgram = async (core: EntryCore, program: CallProgram) => {
	if (!program.isImplicit) {
		return;
	}

	try {
		await core.callOwner(program.programId, 'programs.end', {
			programId: program.programId,
			reason: 'call-ended',
		});
	} catch (error) {
		// The program ends later, when it reaches its wall-time limit.
		core.context.logger.warn({
			event: 'program-not-ended',
			programId: program.programId,
			error: messageOf(error),
		});
	}
};

const readExpectedTurn = (request: HttpRequest): number | undefined => {
	const header = headerOf(request, 'x-marjoramcove-turn');
	if (header === undefined) {
		return undefined;
	}

	if (!/^\d{1,9}$/v.test(header)) {
		throw new ValidationError(
			'The header x-marjoramcove-turn must be a whole number.',
			'Send the number of the next turn, or leave the header out.',
		);
	}

	return Number(header);
};

const readResumePosition = (
	request: HttpRequest,
): ResumePosition | undefined => {
	const match = /^(\d{1,9}):(\d{1,12})$/v.exec(
		headerOf(request, 'last-event-id') ?? '',
	);
	return match
		? {attempt: Number(match[1]), offset: Number(match[2])}
		: undefined;
};

const buildAcceptInput = (
	core: EntryCore,
	request: HttpRequest,
	call: {
		programId: ProgramId;
		kind: 'model' | 'tool';
		target: Target;
		messages: AcceptInput['messages'];
		parameters: unknown;
		maxTokens?: number;
		timeoutMs: number;
		requestId: string;
	},
): AcceptInput => {
	const {requestId, ...fields} = call;
	const expectedTurn = readExpectedTurn(request);
	return acceptSchema.parse({
		...fields,
		requestId,
		bodyHash: hashRequest([
			call.kind,
			call.target,
			call.messages,
			call.parameters,
			call.maxTokens,
		]),
		...(expectedTurn !== undefined && {expectedTurn}),
		zone: core.context.settings.zone,
	});
};

/** Creates a signal that aborts when the caller's connection closes before the response has ended. */
const createDisconnectSignal = (response: ServerResponse): AbortSignal => {
	const controller = new AbortController();
	response.on('close', () => {
		if (!response.writableFinished) {
			controller.abort();
		}
	});
	return controller.signal;
};

const createCallHeaders = (input: AcceptInput): Record<string, string> => ({
	'x-marjoramcove-program': input.programId,
	'x-marjoramcove-request': input.requestId,
});

/** Creates the error for a call that was recorded as failed. */
export const createCallError = (
	outcome: Extract<CallResult['outcome'], {status: 'failed'}>,
	input: {programId: string; requestId: string},
): MarjoramcoveError =>
	new MarjoramcoveError(
		outcome.message || `The call failed: ${outcome.reason}.`,
		{
			reason: outcome.reason,
			verdict: outcome.verdict,
			hint:
				outcome.verdict === 'not-run'
					? 'Send the call again with a new request id.'
					: 'The outcome is recorded; check at the service before you repeat the operation.',
			data: input,
		},
	);

const createCompletionBody = (
	input: AcceptInput,
	model: string,
	call: CallResult,
) => {
	const {content, tool_calls: recordedToolCalls} = decodeAnswer(call.content);
	const toolCalls = call.toolCalls ?? recordedToolCalls;
	return {
		id: `${input.programId}:${input.requestId}`,
		object: 'chat.completion',
		created: Math.floor(Date.now() / 1000),
		model,
		choices: [
			{
				index: 0,
				message: {
					role: 'assistant',
					content,
					...(toolCalls !== undefined && {tool_calls: toolCalls}),
				},
				finish_reason: call.finishReason,
			},
		],
		...(call.usage && {usage: call.usage}),
	};
};

/** `POST /v1/chat/completions`. */
export const createCompletionRoute =
	(core: EntryCore): Handler =>
	async (request, response) => {
		const body = parseBody(request, completionSchema);
		const requestId = resolveRequestId(
			headerOf(request, 'x-marjoramcove-request'),
		);
		core.configuration.assertLease();
		const program = await resolveProgram(core, request);
		const maxTokens = body.max_completion_tokens ?? body.max_tokens;
		const input = buildAcceptInput(core, request, {
			programId: program.programId,
			requestId,
			kind: 'model',
			target: {model: body.model},
			messages: body.messages.map((message) => encodeMessage(message)),
			parameters: Object.fromEntries(
				Object.entries(body).filter(([key]) => !handledFields.has(key)),
			),
			...(maxTokens && {maxTokens}),
			timeoutMs: core.context.settings.timing.modelCallTimeoutMs,
		});
		try {
			await (body.stream
				? streamCompletion(core, request, response, input)
				: sendCompletion(core, response, input));
		} finally {
			await endImplicitProgram(core, program);
		}
	};

/** Ignores partial text, for an answer that is sent as a whole when the call has ended. */
const ignoringObserver: AnswerObserver = {
	onText() {
		// The result of the call contains the whole text.
	},
	onRestart() {
		// Nothing has been sent that would have to be discarded.
	},
};

const sendCompletion = async (
	core: EntryCore,
	response: ServerResponse,
	input: AcceptInput,
): Promise<void> => {
	const call = await core.follower.follow(input, ignoringObserver, {
		signal: createDisconnectSignal(response),
		coalesceMs: WHOLE_ANSWER_COALESCE_MS,
	});
	if (call.outcome.status === 'failed') {
		throw createCallError(call.outcome, input);
	}

	const model = 'model' in input.target ? input.target.model : '';
	sendJson(
		response,
		200,
		createCompletionBody(input, model, call),
		createCallHeaders(input),
	);
};

const streamCompletion = async (
	core: EntryCore,
	request: HttpRequest,
	response: ServerResponse,
	input: AcceptInput,
): Promise<void> => {
	const resume = readResumePosition(request);
	const events = new SseResponse(response, {
		id: `${input.programId}:${input.requestId}`,
		model: 'model' in input.target ? input.target.model : '',
		headers: createCallHeaders(input),
		acceptsRestart:
			resume !== undefined ||
			headerOf(request, 'x-marjoramcove-restart') === 'accept',
		heartbeatMs: core.context.settings.timing.callerHeartbeatMs,
		maxBufferedBytes: core.context.settings.limits.answerSizeBytes,
		onSlowCaller() {
			core.context.refusals.increment({reason: 'caller-too-slow'});
		},
	});
	try {
		const call = await core.follower.follow(input, events, {
			signal: createDisconnectSignal(response),
			...(resume && {resume}),
		});
		if (call.outcome.status === 'failed') {
			throw createCallError(call.outcome, input);
		}

		events.finish(call);
	} catch (error) {
		if (!events.isOpen) {
			throw error;
		}

		core.context.refusals.increment({reason: reasonOf(error)});
		events.fail(error);
	} finally {
		events.close();
	}
};

/** `POST /v1/tools/<service>/<operation>`. */
export const createToolRoute =
	(core: EntryCore): Handler =>
	async (request, response) => {
		const parameters: unknown = parseBody(request, z.unknown());
		const requestId = resolveRequestId(
			headerOf(request, 'x-marjoramcove-request'),
		);
		core.configuration.assertLease();
		const program = await resolveProgram(core, request);
		const {service, operation} = request.params;
		const input = buildAcceptInput(core, request, {
			programId: program.programId,
			requestId,
			kind: 'tool',
			target: {service: service!, operation: operation!},
			messages: [createToolCallMessage(requestId, request, parameters)],
			parameters,
			timeoutMs: core.context.settings.timing.toolCallTimeoutMs,
		});
		try {
			const call = await core.follower.follow(input, ignoringObserver, {
				signal: createDisconnectSignal(response),
				coalesceMs: WHOLE_ANSWER_COALESCE_MS,
			});
			if (call.outcome.status === 'failed') {
				throw createCallError(call.outcome, input);
			}

			response.writeHead(200, {
				'content-type': call.outcome.contentType,
				...createCallHeaders(input),
			});
			response.end(call.content);
		} finally {
			await endImplicitProgram(core, program);
		}
	};

/** Creates the history entry of a tool call, in the format of the OpenAI API. */
const createToolCallMessage = (
	requestId: string,
	request: HttpRequest,
	parameters: unknown,
): {role: string; content: string} => ({
	role: 'assistant',
	content:
		messageMarker +
		JSON.stringify({
			content: null,
			tool_calls: [
				{
					id: requestId,
					type: 'function',
					function: {
						name: `${request.params.service}/${request.params.operation}`,
						arguments: JSON.stringify(parameters),
					},
				},
			],
		}),
});
