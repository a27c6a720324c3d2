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
import type {AnswerReader, ResumePosition} from './answer-delivery.ts';
import {type FollowedCall, WHOLE_ANSWER_COALESCE_MS} from './call-follower.ts';
import {checkRequestId, type EntryCore, hashRequest} from './entry-core.ts';
import {
	type Handler,
	headerOf,
	type HttpRequest,
	parseBody,
	sendJson,
} from './http-answers.ts';
import {decodeAnswer, encodeMessage} from './message-codec.ts';
import {SseAnswer} from './sse-answer.ts';

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

const ownFields = new Set([
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

/** Program of a call; a call without one gets its own, which ends with it. */
type CallProgram = {programId: ProgramId; isOwn: boolean};

const findProgram = async (
	core: EntryCore,
	request: HttpRequest,
): Promise<CallProgram> => {
	const header = headerOf(request, 'x-marjoramcove-program');
	if (header !== undefined) {
		return {programId: core.programId(header), isOwn: false};
	}

	const {programId} = await core.openProgram({
		labels: {},
		callerId: headerOf(request, 'x-marjoramcove-caller') ?? 'anonymous',
	});
	return {programId, isOwn: true};
};

const endOwnProgram = async (core: EntryCore, program: CallProgram) => {
	if (!program.isOwn) {
		return;
	}

	try {
		await core.owner(program.programId, 'programs.end', {
			programId: program.programId,
			reason: 'call-ended',
		});
	} catch (error) {
		// The wall-time limit ends the program later.
		core.context.logger.warn({
			event: 'program-not-ended',
			programId: program.programId,
			error: messageOf(error),
		});
	}
};

const readTurn = (request: HttpRequest): number | undefined => {
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

const readResume = (request: HttpRequest): ResumePosition | undefined => {
	const match = /^(\d{1,9}):(\d{1,12})$/v.exec(
		headerOf(request, 'last-event-id') ?? '',
	);
	return match
		? {attempt: Number(match[1]), offset: Number(match[2])}
		: undefined;
};

const createAccept = (
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
	const {requestId, ...rest} = call;
	const expectedTurn = readTurn(request);
	return acceptSchema.parse({
		...rest,
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

/** Aborts when the caller's connection closes before the answer has ended. */
const callerSignal = (response: ServerResponse): AbortSignal => {
	const controller = new AbortController();
	response.on('close', () => {
		if (!response.writableFinished) {
			controller.abort();
		}
	});
	return controller.signal;
};

const callHeaders = (input: AcceptInput): Record<string, string> => ({
	'x-marjoramcove-program': input.programId,
	'x-marjoramcove-request': input.requestId,
});

/** Error of a call that was recorded as failed. */
export const failedCall = (
	outcome: Extract<FollowedCall['outcome'], {status: 'failed'}>,
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

const completionBody = (
	input: AcceptInput,
	model: string,
	call: FollowedCall,
) => {
	const {content, tool_calls: recorded} = decodeAnswer(call.content);
	const toolCalls = call.toolCalls ?? recorded;
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
		const requestId = checkRequestId(
			headerOf(request, 'x-marjoramcove-request'),
		);
		core.configuration.assertLease();
		const program = await findProgram(core, request);
		const maxTokens = body.max_completion_tokens ?? body.max_tokens;
		const input = createAccept(core, request, {
			programId: program.programId,
			requestId,
			kind: 'model',
			target: {model: body.model},
			messages: body.messages.map((message) => encodeMessage(message)),
			parameters: Object.fromEntries(
				Object.entries(body).filter(([key]) => !ownFields.has(key)),
			),
			...(maxTokens && {maxTokens}),
			timeoutMs: core.context.settings.timing.modelCallTimeoutMs,
		});
		try {
			await (body.stream
				? streamCompletion(core, request, response, input)
				: answerCompletion(core, response, input));
		} finally {
			await endOwnProgram(core, program);
		}
	};

/** Reader of an answer that is sent whole at its end, so that it has nothing to take back. */
const wholeAnswer: AnswerReader = {
	onText() {
		// The end of the call brings the whole text.
	},
	onRestart() {
		// Nothing was sent.
	},
};

const answerCompletion = async (
	core: EntryCore,
	response: ServerResponse,
	input: AcceptInput,
): Promise<void> => {
	const call = await core.follower.follow(input, wholeAnswer, {
		signal: callerSignal(response),
		coalesceMs: WHOLE_ANSWER_COALESCE_MS,
	});
	if (call.outcome.status === 'failed') {
		throw failedCall(call.outcome, input);
	}

	const model = 'model' in input.target ? input.target.model : '';
	sendJson(
		response,
		200,
		completionBody(input, model, call),
		callHeaders(input),
	);
};

const streamCompletion = async (
	core: EntryCore,
	request: HttpRequest,
	response: ServerResponse,
	input: AcceptInput,
): Promise<void> => {
	const resume = readResume(request);
	const answer = new SseAnswer(response, {
		id: `${input.programId}:${input.requestId}`,
		model: 'model' in input.target ? input.target.model : '',
		headers: callHeaders(input),
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
		const call = await core.follower.follow(input, answer, {
			signal: callerSignal(response),
			...(resume && {resume}),
		});
		if (call.outcome.status === 'failed') {
			throw failedCall(call.outcome, input);
		}

		answer.finish(call);
	} catch (error) {
		if (!answer.isOpen) {
			throw error;
		}

		core.context.refusals.increment({reason: reasonOf(error)});
		answer.fail(error);
	} finally {
		answer.close();
	}
};

/** `POST /v1/tools/<service>/<operation>`. */
export const createToolRoute =
	(core: EntryCore): Handler =>
	async (request, response) => {
		const parameters: unknown = parseBody(request, z.unknown());
		const requestId = checkRequestId(
			headerOf(request, 'x-marjoramcove-request'),
		);
		core.configuration.assertLease();
		const program = await findProgram(core, request);
		const {service, operation} = request.params;
		const input = createAccept(core, request, {
			programId: program.programId,
			requestId,
			kind: 'tool',
			target: {service: service!, operation: operation!},
			messages: [describeToolRequest(requestId, request, parameters)],
			parameters,
			timeoutMs: core.context.settings.timing.toolCallTimeoutMs,
		});
		try {
			const call = await core.follower.follow(input, wholeAnswer, {
				signal: callerSignal(response),
				coalesceMs: WHOLE_ANSWER_COALESCE_MS,
			});
			if (call.outcome.status === 'failed') {
				throw failedCall(call.outcome, input);
			}

			response.writeHead(200, {
				'content-type': call.outcome.contentType,
				...callHeaders(input),
			});
			response.end(call.content);
		} finally {
			await endOwnProgram(core, program);
		}
	};

/** A tool call in the history has the form of a tool call of the OpenAI API. */
const describeToolRequest = (
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
