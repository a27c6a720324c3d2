import {messageOf, reasonOf} from '@marjoramcove/errors';
import type {LastTurn} from '@marjoramcove/balancer';
import {EventStreamReader, ResponseBuffer} from '@marjoramcove/ingress';
import type {RouteTable} from '@marjoramcove/routes';
import type {UpstreamId} from '@marjoramcove/types';
import type {GatewayContext} from '../gateway-context.ts';
import type {TurnsService} from '../services/turns-service.ts';
import {type Chain, createTurnBody, measureTurnBody} from './chain.ts';
import {forwardStream} from './forward-stream.ts';
import {BODY_MEMORY_RETRY_MS} from './read-request-body.ts';
import {refuseRequest} from './refuse-request.ts';
import {
	elapsedSinceReceiptMs,
	type RequestContext,
	type RequestOutcome,
} from './request-context.ts';
import {joinText, splitText} from './turn-text.ts';
import type {Upstreams} from './upstreams.ts';

/** Fraction of its time limit that a turn may wait for its shard before it is refused. */
const RESERVE_TIME_SHARE = 0.6;

export type TurnOptions = {
	upstreams: Upstreams;
	table: RouteTable;
	turns: TurnsService;
};

/** A prepared turn; its budget is reserved if it is charged. */
type PreparedTurn = {
	request: RequestContext;
	options: TurnOptions;
	/** Absent for the first turn of a chain. */
	chain: Chain | undefined;
	/** Server and context size of the program's previous turn. */
	last: LastTurn | undefined;
	retentionMs: number;
	/** Whether the turn is charged to the budget of a program. */
	isCharged: boolean;
};

type Preparation =
	| {type: 'ready'; turn: PreparedTurn}
	| {type: 'refused'; outcome: RequestOutcome};

/** @param serverId - absent if no server ran the turn. */
const createSettlement = (
	{request, options, retentionMs}: PreparedTurn,
	reader: EventStreamReader,
	serverId?: UpstreamId,
) => {
	const {head, service} = request;
	const tokensPerEvent = options.table.service(service)?.engine?.tokensPerEvent;
	const usedTokens = reader.eventCount * (tokensPerEvent ?? 1);
	const promptTokens = (head.promptParts ?? []).reduce(
		(sum, {tokens}) => sum + tokens,
		0,
	);
	return {
		teamId: request.teamId,
		programId: head.programId!,
		requestId: head.requestId!,
		usedTokens,
		retentionMs,
		last:
			serverId !== undefined && usedTokens > 0
				? {serverId, contextTokens: promptTokens + usedTokens}
				: undefined,
	};
};

/**
 * Creates the record of a finished turn. If the chain is stored in another shard, its text is copied, so
 * that a chain is never split across shards. Of a long text, all parts are stored first, and the record
 * continues them.
 */
const createTurnRecord = async (
	{request, options, chain, retentionMs}: PreparedTurn,
	reader: EventStreamReader,
) => {
	const {head, teamId, body: input, deadlineMs} = request;
	const programId = head.programId!;
	const homeShard = options.turns.shardOf(programId, request);
	const isInOtherShard = chain !== undefined && chain.groupId !== homeShard;
	const copiedChain = isInOtherShard ? chain : undefined;
	const turnText = {copiedChain, input, output: reader.text()};
	let previousId = isInOtherShard ? undefined : head.previousTurnId;
	let text = joinText(turnText);
	if (!text) {
		let index = 0;
		for await (const part of splitText(turnText, deadlineMs)) {
			previousId = await options.turns.storePart(
				{
					teamId,
					programId,
					turnId: head.requestId!,
					index,
					text: part,
					previousId,
					retentionMs,
				},
				{deadlineMs},
			);
			index++;
		}

		text = Buffer.alloc(0);
	}

	return {text, retentionMs, previousId};
};

/** Refuses a turn whose body finds no memory. */
const refuseForMemory = (
	context: GatewayContext,
	request: RequestContext,
): RequestOutcome =>
	refuseRequest(context, request, {
		status: 503,
		reason: 'body-memory-exhausted',
		message:
			'The daemon has no memory left for the earlier turns. The turn has not run.',
		retryAfterMs: BODY_MEMORY_RETRY_MS,
	});

const refuseOverBudget = (
	context: GatewayContext,
	request: RequestContext,
): RequestOutcome =>
	refuseRequest(context, request, {
		status: 402,
		reason: 'budget-spent',
		message:
			'The budget of the program does not hold another turn. It has not run.',
	});

/** Reserves the budget and reads the chain concurrently. */
const prepareTurn = async (
	context: GatewayContext,
	request: RequestContext,
	options: TurnOptions,
): Promise<Preparation> => {
	const {head, route, exchange, teamId} = request;
	const {programId, requestId, budgetTokens, maxTokens, previousTurnId} = head;
	const retentionMs =
		route.retentionMs + context.settings.timing.retentionMarginMs;
	const isCharged =
		programId !== undefined &&
		requestId !== undefined &&
		budgetTokens !== undefined &&
		maxTokens !== undefined;
	const waitMs =
		(request.deadlineMs - exchange.receivedAtMs) * RESERVE_TIME_SHARE;
	const deadlineMs = exchange.receivedAtMs + waitMs;
	const needsChain = route.keepsTurns && previousTurnId !== undefined;
	const [reserved, chain] = await Promise.allSettled([
		isCharged
			? options.turns.reserve(
					{
						teamId,
						programId,
						requestId,
						budgetTokens,
						maxTokens,
						retentionMs,
					},
					{deadlineMs},
				)
			: undefined,
		needsChain
			? options.turns.openChain(
					{turnId: previousTurnId, programId, teamId},
					{deadlineMs},
				)
			: undefined,
	]);
	request.progress.preparedMs = elapsedSinceReceiptMs(request);
	const turn: PreparedTurn = {
		request,
		options,
		chain: chain.status === 'fulfilled' ? chain.value : undefined,
		last:
			reserved.status === 'fulfilled' && reserved.value?.status === 'granted'
				? reserved.value.last
				: undefined,
		retentionMs,
		isCharged,
	};
	const release = () => {
		if (isCharged) {
			const settlement = createSettlement(turn, new EventStreamReader());
			void options.turns.settleInBackground(settlement);
		}
	};

	const failed = [reserved, chain].find(({status}) => status === 'rejected');
	if (failed?.status === 'rejected') {
		release();
		const outcome = refuseRequest(context, request, {
			status: 503,
			reason: `turn-${reasonOf(failed.reason)}`,
			message: `The turn could not be prepared: ${messageOf(failed.reason)} It has not run.`,
		});
		return {type: 'refused', outcome};
	}

	const status =
		reserved.status === 'fulfilled' ? reserved.value?.status : undefined;
	if (status === 'budget-spent') {
		return {type: 'refused', outcome: refuseOverBudget(context, request)};
	}

	if (status === 'already-settled') {
		const outcome = refuseRequest(context, request, {
			status: 502,
			reason: 'turn-already-settled',
			message: 'A turn with this id has ended.',
		});
		return {type: 'refused', outcome};
	}

	if (needsChain && !turn.chain) {
		release();
		const outcome = refuseRequest(context, request, {
			status: 404,
			reason: 'turn-unknown',
			message: 'The turn that this one continues is not known. It has not run.',
		});
		return {type: 'refused', outcome};
	}

	if (
		!request.exchange.tryGrowBody(measureTurnBody(turn.chain, request.body))
	) {
		release();
		return {type: 'refused', outcome: refuseForMemory(context, request)};
	}

	return {type: 'ready', turn};
};

/**
 * Forwards a turn of a program: reserves its budget, prepends the text of the previous turns to its input,
 * forwards the stream, and records the new turn before the response ends.
 */
export const forwardTurn = async (
	context: GatewayContext,
	request: RequestContext,
	options: TurnOptions,
): Promise<RequestOutcome> => {
	const preparation = await prepareTurn(context, request, options);
	if (preparation.type === 'refused') {
		return preparation.outcome;
	}

	const {turn} = preparation;
	const {route} = request;
	const {chain, isCharged} = turn;
	const body = createTurnBody(chain, request.body, request.deadlineMs);
	const reader = new EventStreamReader({
		buffer:
			route.keepsTurns && isCharged
				? new ResponseBuffer(options.upstreams.bufferMemory)
				: undefined,
	});
	let isSettled = false;
	let serverId: UpstreamId | undefined;
	const settleBeforeEnd = async (
		_reader: EventStreamReader,
		serverId: UpstreamId,
	) => {
		if (!route.keepsTurns || !isCharged) {
			return;
		}

		await options.turns.settle(
			{
				...createSettlement(turn, reader, serverId),
				turn: await createTurnRecord(turn, reader),
			},
			{deadlineMs: request.deadlineMs},
		);
		isSettled = true;
		request.progress.settledMs = elapsedSinceReceiptMs(request);
	};

	try {
		const outcome = await forwardStream(
			context,
			{...request, sentBody: body, last: turn.last},
			{...options, reader, beforeEnd: settleBeforeEnd},
		);
		serverId = outcome.serverId;
		return outcome;
	} finally {
		reader.discard();
		if (isCharged && !isSettled) {
			void options.turns.settleInBackground(
				createSettlement(turn, reader, serverId),
			);
		}
	}
};
