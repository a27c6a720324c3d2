import type {HistoryText, ProgramDescription} from '@marjoramcove/programs';
import {chooseAddresses, type Member} from '@marjoramcove/membership';
import {asId, type ZoneName} from '@marjoramcove/types';
import * as z from 'zod';
import type {CallState} from '../call-contracts.ts';
import type {EntryCore} from './entry-core.ts';
import {type Handler, headerOf, parseBody, sendJson} from './http-responses.ts';
import {decodeAnswer, decodeMessage} from './message-codec.ts';

const nameSchema = z.string().min(1).max(200);

const openSchema = z.strictObject({
	labels: z.record(nameSchema, z.string().max(200)).default({}),
	callerId: nameSchema.default('anonymous'),
	budget: z
		.strictObject({
			tokens: z.int().min(1),
			turns: z.int().min(1),
			wallTimeMs: z.int().min(1),
		})
		.partial()
		.default({}),
	parent: nameSchema.optional(),
	deadlineMs: z.int().min(1).optional(),
	operationId: nameSchema.optional(),
});

const pauseSchema = z.strictObject({
	expectedMs: z.number().min(0).max(86_400_000),
});

/** Program in the response format of the API. */
const toProgramBody = (program: ProgramDescription) => ({
	...program,
	parent: program.parentId,
});

/** `POST /v1/programs`. */
export const createOpenRoute =
	(core: EntryCore): Handler =>
	async (request, response) => {
		const body = parseBody(request, openSchema);
		core.configuration.assertLease();
		const opened = await core.openProgram(body);
		sendJson(response, 201, opened);
	};

/** `GET /v1/programs/<id>`. */
export const createDescribeRoute =
	(core: EntryCore): Handler =>
	async (request, response) => {
		const programId = core.parseProgramId(request.params.id!);
		const program = await core.callOwner<ProgramDescription>(
			programId,
			'programs.describe',
			{programId},
		);
		sendJson(response, 200, toProgramBody(program));
	};

/** `GET /v1/programs/<id>/history`. */
export const createHistoryRoute =
	(core: EntryCore): Handler =>
	async (request, response) => {
		const programId = core.parseProgramId(request.params.id!);
		const {entries} = await core.callOwner<{entries: HistoryText[]}>(
			programId,
			'programs.history',
			{programId},
		);
		sendJson(response, 200, {
			programId,
			entries: entries.map((entry) => decodeMessage(entry)),
		});
	};

/** `POST /v1/programs/<id>/end`. */
export const createEndRoute =
	(core: EntryCore): Handler =>
	async (request, response) => {
		const programId = core.parseProgramId(request.params.id!);
		sendJson(
			response,
			200,
			await core.callOwner(programId, 'programs.end', {
				programId,
				reason: 'ended-by-caller',
			}),
		);
	};

/** `POST /v1/programs/<id>/pause`. */
export const createPauseRoute =
	(core: EntryCore): Handler =>
	async (request, response) => {
		const programId = core.parseProgramId(request.params.id!);
		const {expectedMs} = parseBody(request, pauseSchema);
		sendJson(
			response,
			200,
			await core.callOwner(programId, 'programs.pause', {
				programId,
				expectedMs,
			}),
		);
	};

type RequestState =
	| {status: 'open'; call: Record<string, unknown>}
	| Extract<CallState, {status: 'settled'}>;

/** `GET /v1/programs/<id>/requests/<requestId>`. */
export const createRequestRoute =
	(core: EntryCore): Handler =>
	async (request, response) => {
		const programId = core.parseProgramId(request.params.id!);
		const {requestId} = request.params;
		const state = await core.callOwner<RequestState>(
			programId,
			'programs.request',
			{programId, requestId},
		);
		if (state.status === 'open') {
			sendJson(response, 200, {
				programId,
				requestId,
				status: 'open',
				call: state.call,
			});
			return;
		}

		const {record, content} = state;
		const isAnswered = record.outcome.status === 'answered';
		sendJson(response, 200, {
			programId,
			requestId,
			status: isAnswered ? 'answered' : 'failed',
			verdict: record.outcome.verdict,
			turn: record.turn,
			attempt: record.attempt,
			...(record.outcome.status === 'failed' && {
				reason: record.outcome.reason,
				message: content,
			}),
			...(isAnswered && {answer: decodeAnswer(content).content}),
		});
	};

/** `GET /v1/addresses`; requires no lease, because callers may ask any daemon. */
export const createAddressesRoute =
	(core: EntryCore): Handler =>
	async (request, response) => {
		const {settings} = core.context;
		const zone = request.query.zone ?? settings.zone;
		const members = [...core.configuration.members.values()] as Member[];
		sendJson(
			response,
			200,
			chooseAddresses(members, {
				callerKey:
					headerOf(request, 'x-marjoramcove-caller') ??
					request.socket.remoteAddress ??
					'',
				zone: asId<ZoneName>(String(zone)),
				ttlMs: settings.timing.addressTtlMs,
			}),
		);
	};
