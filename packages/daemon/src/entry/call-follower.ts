import {setTimeout as sleep} from 'node:timers/promises';
import {MarjoramcoveError, reasonOf} from '@marjoramcove/errors';
import {type CallOutcome, programOfShard} from '@marjoramcove/programs';
import type {
	AcceptInput,
	CallPayload,
	CallState,
	Grant,
	Usage,
} from '../call-contracts.ts';
import {type DaemonContext, isNotRun} from '../daemon-context.ts';
import type {GroupClientService} from '../services/group-client-service.ts';
import type {PeersService} from '../services/peers-service.ts';
import {shardGroup} from '../services/replication-service.ts';
import {
	AnswerDelivery,
	type AnswerReader,
	type ResumePosition,
} from './answer-delivery.ts';
import {type AttemptEnd, readAttempt} from './read-attempt.ts';

/** End of a followed call. */
export type FollowedCall = {
	outcome: CallOutcome;
	attempt: number;
	turn: number;
	content: string;
	finishReason: string;
	toolCalls?: unknown[];
	usage?: Usage;
};

type FollowOptions = {
	signal: AbortSignal;
	resume?: ResumePosition;
	/** Shortest time between two texts of the answer. */
	coalesceMs?: number;
};

/** Far below the 61 ms between tokens that callers may expect; bursts of an engine share a chunk. */
const STREAM_COALESCE_MS = 10;

/** Without a streaming caller, the text only serves to continue a lost attempt. */
export const WHOLE_ANSWER_COALESCE_MS = 250;

type Attempt = {grant: Grant; payload: CallPayload; receivedMs: number};

const followGraceMs = 30_000;

/** Brings a call from the entry daemon to its end: accept, dispatch, and recovery of lost attempts. */
export class CallFollower {
	readonly #context: DaemonContext;
	readonly #groups: GroupClientService;
	readonly #peers: PeersService;
	readonly #wait: (delayMs: number) => Promise<unknown>;

	/** The last parameter lets randomised tests run in virtual time. */
	constructor(
		context: DaemonContext,
		groups: GroupClientService,
		peers: PeersService,
		wait: (delayMs: number) => Promise<unknown> = sleep,
	) {
		this.#context = context;
		this.#groups = groups;
		this.#peers = peers;
		this.#wait = wait;
	}

	/**
	 * Follows a call to its end. When the signal aborts, the call goes on without a reader.
	 *
	 * @throws MarjoramcoveError when the call was refused, or when its outcome is unknown.
	 */
	async follow(
		input: AcceptInput,
		reader: AnswerReader,
		{signal, resume, coalesceMs = STREAM_COALESCE_MS}: FollowOptions,
	): Promise<FollowedCall> {
		const delivery = new AnswerDelivery(reader, resume);
		const endMs = performance.now() + 2 * input.timeoutMs + followGraceMs;
		let state = await this.#callOwner(input, 'programs.accept', input);
		reader.onGranted?.();
		let attempt = 0;
		for (;;) {
			if (state.status === 'settled') {
				return finishSettled(state, delivery);
			}

			if (signal.aborted || performance.now() > endMs) {
				throw outcomeUnknown(input);
			}

			if (state.status === 'granted') {
				attempt = state.grant.attempt;
				const end = await this.#readAttempt(
					{...state, receivedMs: performance.now()},
					delivery,
					{signal, coalesceMs},
				);
				if (end.type === 'final') {
					return finishAttempt(state.grant, end, delivery);
				}

				this.#context.retries.increment({step: 'follow', reason: end.reason});
			}

			if (signal.aborted) {
				throw outcomeUnknown(input);
			}

			await this.#wait(state.status === 'unsure' ? state.retryAfterMs : 20);
			state = await this.#reportLost(input, attempt, delivery.text);
		}
	}

	/** Asks what follows a lost attempt. The call was granted, so no failure here means `not-run`. */
	async #reportLost(
		input: AcceptInput,
		attempt: number,
		partial: string,
	): Promise<CallState> {
		try {
			return await this.#callOwner(input, 'programs.reportLost', {
				accept: input,
				attempt,
				partial,
			});
		} catch (error) {
			throw isNotRun(error) ? outcomeUnknown(input, reasonOf(error)) : error;
		}
	}

	async #callOwner(
		input: AcceptInput,
		path: string,
		body: unknown,
	): Promise<CallState> {
		return this.#groups.call<CallState>(
			shardGroup(programOfShard(input.programId)),
			path,
			body,
			{timeoutMs: input.timeoutMs + 5000},
		);
	}

	/** Reads one attempt until it ends or is lost. */
	async #readAttempt(
		{grant, payload, receivedMs}: Attempt,
		delivery: AnswerDelivery,
		{signal, coalesceMs}: {signal: AbortSignal; coalesceMs: number},
	): Promise<AttemptEnd> {
		const fromOffset = delivery.begin(grant.attempt);
		const timeoutMs = grant.timeoutMs - (performance.now() - receivedMs);
		return readAttempt(
			this.#peers,
			{grant: {...grant, timeoutMs}, payload, fromOffset, coalesceMs},
			({offset, text}) => delivery.take(offset, text),
			signal,
		);
	}
}

const finishAttempt = (
	{attempt, turn, kind}: Grant,
	end: Extract<AttemptEnd, {type: 'final'}>,
	delivery: AnswerDelivery,
): FollowedCall => {
	if (end.outcome.status === 'answered' && kind === 'model') {
		delivery.finish(attempt, end.content);
	}

	return {...end, attempt, turn};
};

const finishSettled = (
	{record, content}: Extract<CallState, {status: 'settled'}>,
	delivery: AnswerDelivery,
): FollowedCall => {
	const {outcome} = record;
	if (outcome.status === 'answered' && record.kind === 'model') {
		delivery.finish(record.attempt, content);
	}

	return {
		outcome:
			outcome.status === 'failed' ? {...outcome, message: content} : outcome,
		attempt: record.attempt,
		turn: record.turn,
		content,
		finishReason: 'stop',
	};
};

const outcomeUnknown = (input: AcceptInput, reason = 'call-timeout') =>
	new MarjoramcoveError(
		`The outcome of request ${input.requestId} is not known yet.`,
		{
			reason,
			verdict: 'may-have-run',
			hint: `Look it up: GET /v1/programs/${input.programId}/requests/${input.requestId}.`,
		},
	);
