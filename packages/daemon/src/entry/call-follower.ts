import {setTimeout as sleep} from 'node:timers/promises';
import {MarjoramcoveError, reasonOf} from '@marjoramcove/errors';
import {type CallOutcome, shardOfProgram} from '@marjoramcove/programs';
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
	type AnswerObserver,
	type ResumePosition,
} from './answer-delivery.ts';
import {type AttemptEnd, readAttempt} from './read-attempt.ts';

/** Final result of a call. */
export type CallResult = {
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
	/** Minimum time between two chunks of the answer. */
	coalesceMs?: number;
};

/**
 * Far below the 61 ms between tokens that callers may expect; tokens that an engine generates in a burst
 * share a chunk.
 */
const STREAM_COALESCE_MS = 10;

/** Longer, because without a streaming caller the text is only needed to continue after a lost attempt. */
export const WHOLE_ANSWER_COALESCE_MS = 250;

type Attempt = {grant: Grant; payload: CallPayload; receivedMs: number};

/** Added to twice the timeout of a call before its outcome is reported as unknown. */
const followGraceMs = 30_000;

/**
 * Runs a call on behalf of the entry daemon: the owner accepts it, the dispatcher streams the answer, and
 * lost attempts are reported to the owner, which decides how to continue.
 */
export class CallFollower {
	readonly #context: DaemonContext;
	readonly #groups: GroupClientService;
	readonly #peers: PeersService;
	readonly #wait: (delayMs: number) => Promise<unknown>;

	/** `wait` can be replaced so that randomised tests run in virtual time. */
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
	 * Follows a call until it ends. When the signal aborts, this method stops following; the call continues.
	 *
	 * @throws MarjoramcoveError when the call was refused, or when its outcome is unknown.
	 */
	async follow(
		input: AcceptInput,
		observer: AnswerObserver,
		{signal, resume, coalesceMs = STREAM_COALESCE_MS}: FollowOptions,
	): Promise<CallResult> {
		const delivery = new AnswerDelivery(observer, resume);
		const giveUpMs = performance.now() + 2 * input.timeoutMs + followGraceMs;
		let state = await this.#callOwner(input, 'programs.accept', input);
		observer.onGranted?.();
		let attempt = 0;
		for (;;) {
			if (state.status === 'settled') {
				return finishSettledCall(state, delivery);
			}

			if (signal.aborted || performance.now() > giveUpMs) {
				throw createUnknownOutcomeError(input);
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
				throw createUnknownOutcomeError(input);
			}

			await this.#wait(state.status === 'unsure' ? state.retryAfterMs : 20);
			state = await this.#reportLost(input, attempt, delivery.text);
		}
	}

	/**
	 * Reports a lost attempt to the owner and returns the new state of the call. The call was granted, so
	 * the verdict of an error from here is never `not-run`.
	 */
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
			throw isNotRun(error)
				? createUnknownOutcomeError(input, reasonOf(error))
				: error;
		}
	}

	async #callOwner(
		input: AcceptInput,
		path: string,
		body: unknown,
	): Promise<CallState> {
		return this.#groups.call<CallState>(
			shardGroup(shardOfProgram(input.programId)),
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
		const fromOffset = delivery.beginAttempt(grant.attempt);
		const timeoutMs = grant.timeoutMs - (performance.now() - receivedMs);
		return readAttempt(
			this.#peers,
			{grant: {...grant, timeoutMs}, payload, fromOffset, coalesceMs},
			({offset, text}) => delivery.receiveChunk(offset, text),
			signal,
		);
	}
}

const finishAttempt = (
	{attempt, turn, kind}: Grant,
	end: Extract<AttemptEnd, {type: 'final'}>,
	delivery: AnswerDelivery,
): CallResult => {
	if (end.outcome.status === 'answered' && kind === 'model') {
		delivery.finish(attempt, end.content);
	}

	return {...end, attempt, turn};
};

const finishSettledCall = (
	{record, content}: Extract<CallState, {status: 'settled'}>,
	delivery: AnswerDelivery,
): CallResult => {
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

const createUnknownOutcomeError = (
	input: AcceptInput,
	reason = 'call-timeout',
) =>
	new MarjoramcoveError(
		`The outcome of request ${input.requestId} is not known yet.`,
		{
			reason,
			verdict: 'may-have-run',
			hint: `Look it up: GET /v1/programs/${input.programId}/requests/${input.requestId}.`,
		},
	);
