import {messageOf, reasonOf} from '@marjoramcove/errors';
import type {LastTurn} from '@marjoramcove/balancer';
import {StreamReader} from '@marjoramcove/ingress';
import type {RouteTable} from '@marjoramcove/routes';
import type {UpstreamId} from '@marjoramcove/types';
import type {GatewayContext} from '../gateway-context.ts';
import type {Chain, TurnsService} from '../services/turns-service.ts';
import {refuse} from './answer-caller.ts';
import {forwardStream} from './forward-stream.ts';
import {
	type RequestContext,
	type RequestOutcome,
	sinceReceipt,
} from './request-context.ts';
import type {Upstreams} from './upstreams.ts';

/** Share of its time that a turn may wait for its shard before it is refused. */
const RESERVE_TIME_SHARE = 0.6;

export type TurnParts = {
	upstreams: Upstreams;
	table: RouteTable;
	turns: TurnsService;
};

/** A turn whose budget is reserved. */
type ReservedTurn = {
	request: RequestContext;
	parts: TurnParts;
	/** Absent at the start of a line of turns. */
	chain: Chain | undefined;
	/** Where the program's last turn ran. */
	last: LastTurn | undefined;
	retentionMs: number;
	isCharged: boolean;
};

type Preparation =
	| {type: 'ready'; turn: ReservedTurn}
	| {type: 'refused'; outcome: RequestOutcome};

/** @param serverId - absent when no server ran the turn. */
const settlementOf = (
	{request, parts, retentionMs}: ReservedTurn,
	reader: StreamReader,
	serverId?: UpstreamId,
) => {
	const {head, service} = request;
	const tokensPerEvent = parts.table.service(service)?.engine?.tokensPerEvent;
	const usedTokens = reader.eventCount * (tokensPerEvent ?? 1);
	const promptTokens = (head.promptParts ?? []).reduce(
		(sum, {tokens}) => sum + tokens,
		0,
	);
	return {
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

/** Text of a finished turn. What another shard has of the chain is copied, so that a chain is never split. */
const describeTurn = (
	{request, parts, chain, retentionMs}: ReservedTurn,
	input: Uint8Array,
	reader: StreamReader,
) => {
	const {head} = request;
	const home = parts.turns.shardOf(head.programId!);
	const isElsewhere = chain !== undefined && chain.groupId !== home;
	const text = Buffer.concat([
		...(isElsewhere ? [chain.text] : []),
		input,
		reader.text(),
	]);
	return {
		text,
		retentionMs,
		previousId: isElsewhere ? undefined : head.previousTurnId,
	};
};

const refuseBudget = (
	context: GatewayContext,
	request: RequestContext,
): RequestOutcome =>
	refuse(context, request, {
		status: 402,
		reason: 'budget-spent',
		message:
			'The budget of the program does not hold another turn. It has not run.',
	});

/** Reserves the budget and reads the chain, at the same time. */
const prepare = async (
	context: GatewayContext,
	request: RequestContext,
	parts: TurnParts,
): Promise<Preparation> => {
	const {head, route, exchange} = request;
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
			? parts.turns.reserve(
					{programId, requestId, budgetTokens, maxTokens, retentionMs},
					{deadlineMs},
				)
			: undefined,
		needsChain
			? parts.turns.readChain(previousTurnId, programId, {deadlineMs})
			: undefined,
	]);
	request.progress.preparedMs = sinceReceipt(request);
	const turn: ReservedTurn = {
		request,
		parts,
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
			const settlement = settlementOf(turn, new StreamReader());
			void parts.turns.settleInBackground(settlement);
		}
	};

	const failed = [reserved, chain].find(({status}) => status === 'rejected');
	if (failed?.status === 'rejected') {
		release();
		const outcome = refuse(context, request, {
			status: 503,
			reason: `turn-${reasonOf(failed.reason)}`,
			message: `The turn could not be prepared: ${messageOf(failed.reason)} It has not run.`,
		});
		return {type: 'refused', outcome};
	}

	const status =
		reserved.status === 'fulfilled' ? reserved.value?.status : undefined;
	if (status === 'budget-spent') {
		return {type: 'refused', outcome: refuseBudget(context, request)};
	}

	if (status === 'already-settled') {
		const outcome = refuse(context, request, {
			status: 502,
			reason: 'turn-already-settled',
			message: 'A turn with this id has ended.',
		});
		return {type: 'refused', outcome};
	}

	if (needsChain && !turn.chain) {
		release();
		const outcome = refuse(context, request, {
			status: 404,
			reason: 'turn-unknown',
			message: 'The turn that this one continues is not known. It has not run.',
		});
		return {type: 'refused', outcome};
	}

	return {type: 'ready', turn};
};

/**
 * Forwards a turn of a program: reserves its budget, puts what was said before in front of its input,
 * passes the stream on, and records what was said before the answer ends.
 */
export const forwardTurn = async (
	context: GatewayContext,
	request: RequestContext,
	parts: TurnParts,
): Promise<RequestOutcome> => {
	const preparation = await prepare(context, request, parts);
	if (preparation.type === 'refused') {
		return preparation.outcome;
	}

	const {turn} = preparation;
	const {route, body: input} = request;
	const {chain, isCharged} = turn;
	const body = chain ? Buffer.concat([chain.text, input]) : input;
	const reader = new StreamReader();
	let isSettled = false;
	let serverId: UpstreamId | undefined;
	const settleKept = async (_reader: StreamReader, serverId: UpstreamId) => {
		if (!route.keepsTurns || !isCharged) {
			return;
		}

		await parts.turns.settle(
			{
				...settlementOf(turn, reader, serverId),
				turn: describeTurn(turn, input, reader),
			},
			{deadlineMs: request.deadlineMs},
		);
		isSettled = true;
		request.progress.settledMs = sinceReceipt(request);
	};

	try {
		const outcome = await forwardStream(
			context,
			{...request, body, last: turn.last},
			{...parts, reader, beforeEnd: settleKept},
		);
		serverId = outcome.serverId;
		return {...outcome, events: reader.eventCount};
	} finally {
		if (isCharged && !isSettled) {
			void parts.turns.settleInBackground(settlementOf(turn, reader, serverId));
		}
	}
};
