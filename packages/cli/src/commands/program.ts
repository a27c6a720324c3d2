import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {MarjoramcoveError, ValidationError} from '@marjoramcove/errors';
import type {Verdict} from '@marjoramcove/types';
import type {ApiClient} from '../api-client.ts';
import {
	type CommandContext,
	type CommonArguments,
	createClient,
	parseLabels,
	writeResult,
} from '../command-context.ts';
import {formatRecord, formatTable} from '../output.ts';
import {showProgress} from '../show-progress.ts';
import {streamAnswer} from '../stream-answer.ts';

type StartArguments = CommonArguments & {
	label?: string[];
	caller?: string;
	tokens?: number;
	turns?: number;
	wallTimeMs?: number;
	parent?: string;
	deadlineMs?: number;
	operationId?: string;
};

/** Opens a program and shows its id. */
export const startProgram = async (
	context: CommandContext,
	argv: StartArguments,
): Promise<void> => {
	const budget = {
		...(argv.tokens !== undefined && {tokens: argv.tokens}),
		...(argv.turns !== undefined && {turns: argv.turns}),
		...(argv.wallTimeMs !== undefined && {wallTimeMs: argv.wallTimeMs}),
	};
	const response = await createClient(context, argv).requestJson<
		Record<string, unknown> & {programId: string}
	>({
		method: 'POST',
		path: '/v1/programs',
		body: {
			labels: parseLabels(argv.label),
			...(argv.caller !== undefined && {callerId: argv.caller}),
			...(Object.keys(budget).length > 0 && {budget}),
			...(argv.parent !== undefined && {parent: argv.parent}),
			...(argv.deadlineMs !== undefined && {deadlineMs: argv.deadlineMs}),
			operationId: argv.operationId ?? `cli-${randomUUID()}`,
		},
		idempotent: true,
	});
	writeResult(context, argv, response, () => formatRecord(response));
};

type CallArguments = CommonArguments & {
	id: string;
	model?: string;
	message?: string;
	tool?: string;
	input?: string;
	request?: string;
	turn?: number;
	maxTokens?: number;
};

/** Sends the next call of a program and shows the answer as it arrives. */
export const callProgram = async (
	context: CommandContext,
	argv: CallArguments,
): Promise<void> => {
	const requestId = argv.request ?? `cli-${randomUUID()}`;
	const headers = {
		'x-marjoramcove-program': argv.id,
		'x-marjoramcove-request': requestId,
		'x-marjoramcove-restart': 'accept',
		...(argv.turn !== undefined && {'x-marjoramcove-turn': String(argv.turn)}),
	};
	try {
		await (argv.tool === undefined
			? callModel(context, argv, headers)
			: callTool(context, argv, headers));
	} catch (error) {
		throw addRequestId(error, argv.id, requestId);
	}
};

// Adds the command that reads the recorded outcome, because the response may have been lost.
const addRequestId = (
	error: unknown,
	programId: string,
	requestId: string,
): unknown =>
	error instanceof MarjoramcoveError && error.verdict === 'may-have-run'
		? new MarjoramcoveError(error.message, {
				reason: error.reason,
				verdict: error.verdict,
				hint: `${error.hint} Read the outcome with: marjoramcove program follow ${programId} ${requestId}`,
				data: {...error.data, programId, requestId},
			})
		: error;

const callModel = async (
	context: CommandContext,
	argv: CallArguments,
	headers: Record<string, string>,
): Promise<void> => {
	if (argv.model === undefined || argv.message === undefined) {
		throw new ValidationError(
			'A model call needs --model and --message; a tool call needs --tool.',
			'See marjoramcove program call --help.',
		);
	}

	const answer = await streamAnswer(context, createClient(context, argv), {
		method: 'POST',
		path: '/v1/chat/completions',
		headers,
		body: {
			model: argv.model,
			messages: [{role: 'user', content: argv.message}],
			stream: true,
			...(argv.maxTokens !== undefined && {max_tokens: argv.maxTokens}),
		},
		showWhileArriving: argv.output !== 'json',
	});
	if (argv.output === 'json') {
		writeResult(
			context,
			argv,
			{requestId: headers['x-marjoramcove-request'], ...answer},
			() => '',
		);
	}
};

const callTool = async (
	context: CommandContext,
	argv: CallArguments,
	headers: Record<string, string>,
): Promise<void> => {
	let body: unknown;
	try {
		body = JSON.parse(argv.input ?? '{}');
	} catch (error) {
		throw new ValidationError(
			`--input is not JSON: ${(error as Error).message}.`,
			`Pass a JSON document, such as --input '{"amount": 5}'.`,
		);
	}

	if (!/^[^\/]+\/[^\/]+$/v.test(argv.tool!)) {
		throw new ValidationError(
			`--tool ${argv.tool} is not SERVICE/OPERATION.`,
			'For example, pass --tool entry-desk/charge-fee.',
		);
	}

	const answer = await showProgress(
		context.output,
		() => `waiting for ${argv.tool}`,
		async () =>
			createClient(context, argv).requestJson<unknown>({
				method: 'POST',
				path: `/v1/tools/${argv.tool}`,
				headers,
				body,
				// A retry with the same request id returns the outcome of the first attempt.
				idempotent: true,
				timeoutMs: 130_000,
			}),
	);
	writeResult(context, argv, answer, () => `${JSON.stringify(answer)}\n`);
};

type RequestOutcome = Record<string, unknown> & {
	status: 'open' | 'answered' | 'failed';
	answer?: string;
	reason?: string;
	message?: string;
	verdict?: Verdict;
};

const FOLLOW_POLL_MS = 300;

const waitUntilSettled = async (
	client: ApiClient,
	path: string,
): Promise<RequestOutcome> => {
	for (;;) {
		const outcome = await client.getJson<RequestOutcome>(path);
		if (outcome.status !== 'open') {
			return outcome;
		}

		await sleep(FOLLOW_POLL_MS);
	}
};

/** Waits for the outcome of a call and shows it. The wait has no limit because each call has its own. */
export const followRequest = async (
	context: CommandContext,
	argv: CommonArguments & {id: string; request: string},
): Promise<void> => {
	const outcome = await showProgress(
		context.output,
		() => `waiting for request ${argv.request} of program ${argv.id}`,
		async () =>
			waitUntilSettled(
				createClient(context, argv),
				`/v1/programs/${encodeURIComponent(argv.id)}/requests/${encodeURIComponent(argv.request)}`,
			),
	);
	if (outcome.status === 'failed') {
		throw new MarjoramcoveError(
			outcome.message ?? `The request ${argv.request} failed.`,
			{
				reason: outcome.reason ?? 'call-failed',
				verdict: outcome.verdict ?? 'may-have-run',
				hint: 'This outcome is recorded and final.',
			},
		);
	}

	writeResult(context, argv, outcome, () => `${outcome.answer ?? ''}\n`);
};

/** Ends a program. */
export const endProgram = async (
	context: CommandContext,
	argv: CommonArguments & {id: string},
): Promise<void> => {
	const response = await createClient(context, argv).requestJson<
		Record<string, unknown>
	>({
		method: 'POST',
		path: `/v1/programs/${encodeURIComponent(argv.id)}/end`,
		body: {},
		idempotent: true,
	});
	writeResult(context, argv, response, () => `Program ${argv.id} has ended.\n`);
};

type HistoryEntry = {role: string; content: string; turn?: number};

/** Shows the history of a program. */
export const showHistory = async (
	context: CommandContext,
	argv: CommonArguments & {id: string},
): Promise<void> => {
	const response = await createClient(context, argv).getJson<{
		entries?: HistoryEntry[];
		messages?: HistoryEntry[];
	}>(`/v1/programs/${encodeURIComponent(argv.id)}/history`);
	writeResult(context, argv, response, () =>
		formatTable(
			[
				['ROLE', (row) => row.role],
				['CONTENT', (row) => row.content],
			],
			response.entries ?? response.messages ?? [],
		),
	);
};
