import {messageOf, reasonOf} from '@marjoramcove/errors';
import {
	type CallOutcome,
	findRequest,
	type OpenCallDescription,
} from '@marjoramcove/programs';
import type {UpstreamId} from '@marjoramcove/types';
import {
	type AcceptInput,
	attemptKey,
	type AttemptReference,
	type AttemptStatus,
	type CallState,
} from '../call-contracts.ts';
import {createRefusedError} from '../daemon-context.ts';
import {type CallAccepter, estimatePromptTokens} from './call-accepter.ts';
import type {OpenCallLoads} from './open-call-loads.ts';
import {type OwnerCore} from './owner-core.ts';
import {type Route, routeCall} from './route-call.ts';

/**
 * Status of an attempt at its dispatcher: `gone` when its incarnation has ended, `unsure` while the
 * dispatcher cannot be reached.
 */
type InspectionResult = AttemptStatus | 'gone' | 'unsure';

const dispatcherTimeoutMs = 1000;
const retryAfterMs = 200;
const routeRetryAfterMs = 500;

const toAttemptName = (call: OpenCallDescription): AttemptReference => ({
	programId: call.programId,
	requestId: call.requestId,
	attempt: call.intent.attempt,
	dispatcherIncarnation: call.dispatcherIncarnation,
});

/** Recovers from lost attempts: starts another attempt, or settles the call with a verdict. */
export class CallRecovery {
	readonly #core: OwnerCore;
	readonly #accepter: CallAccepter;
	readonly #loads: OpenCallLoads;
	/** When the dispatcher of an attempt was first found unreachable, by attempt key. */
	readonly #unreachableSinceMs = new Map<string, number>();

	constructor(core: OwnerCore, accepter: CallAccepter, loads: OpenCallLoads) {
		this.#core = core;
		this.#accepter = accepter;
		this.#loads = loads;
	}

	/** Handles a report that an attempt is lost; repeated reports have no further effect. */
	async recover(
		input: AcceptInput,
		attempt: number,
		partial: string,
	): Promise<CallState> {
		const open = await this.#findOpen(input);
		if (!open) {
			return this.#describeSettled(input);
		}

		if (open.intent.attempt !== attempt) {
			return this.#accepter.describeOpen(input, open);
		}

		const status = await this.#inspect(open);
		if (status === 'queued' || status === 'sent') {
			return this.#accepter.describeOpen(input, open);
		}

		if (status === 'unsure' || status === 'settled') {
			return {status: 'unsure', retryAfterMs};
		}

		return open.idempotent
			? this.#retry(input, open, partial)
			: this.#settleNonIdempotent(input, open, status);
	}

	/** Settles a non-idempotent call whose attempt was lost; does nothing while that is uncertain. */
	async settleLost(call: OpenCallDescription): Promise<void> {
		const status = await this.#inspect(call);
		if (status === 'gone') {
			await this.#settle(call, {
				status: 'failed',
				verdict: 'may-have-run',
				reason: 'dispatcher-lost',
				message: 'The dispatcher was lost after it may have sent the call.',
			});
		} else if (status === 'unknown') {
			await this.#discard(call);
		}
	}

	/** Whether the attempt was lost, so that the call cannot settle without recovery. */
	async isLost(call: OpenCallDescription): Promise<boolean> {
		const status = await this.#inspect(call);
		return !['queued', 'sent', 'settled', 'unsure'].includes(status);
	}

	/**
	 * Asks the dispatcher for the status of an attempt; `gone` when its incarnation has ended, or when
	 * it was unreachable for longer than the link timeout.
	 */
	async #inspect(call: OpenCallDescription): Promise<InspectionResult> {
		const {dispatcherId, dispatcherIncarnation} = call;
		const key = attemptKey(toAttemptName(call));
		try {
			const answer = await this.#core.peers.call<{
				incarnation: string;
				statuses: AttemptStatus[];
			}>(
				dispatcherId,
				'dispatch.status',
				{attempts: [toAttemptName(call)]},
				{timeoutMs: dispatcherTimeoutMs},
			);
			this.#unreachableSinceMs.delete(key);
			return answer.incarnation === dispatcherIncarnation
				? answer.statuses[0]!
				: 'gone';
		} catch (error) {
			const member = this.#core.configuration.members.get(dispatcherId);
			const isReplaced =
				this.#core.configuration.hasLease &&
				member?.incarnation !== dispatcherIncarnation;
			const sinceMs = this.#unreachableSinceMs.get(key) ?? performance.now();
			this.#unreachableSinceMs.set(key, sinceMs);
			const {linkTimeoutMs} = this.#core.context.settings.timing;
			const isTimedOut = performance.now() - sinceMs > linkTimeoutMs;
			this.#core.context.logger.debug({
				event: 'dispatcher-unreachable',
				dispatcher: dispatcherId,
				reason: reasonOf(error),
			});
			if (isReplaced || isTimedOut) {
				this.#unreachableSinceMs.delete(key);
				return 'gone';
			}

			return 'unsure';
		}
	}

	/** Records the next attempt, or settles the call when its limits do not allow one. */
	async #retry(
		input: AcceptInput,
		call: OpenCallDescription,
		partial: string,
	): Promise<CallState> {
		const route = await this.#findRoute(input, call);
		if (!route) {
			return {status: 'unsure', retryAfterMs: routeRetryAfterMs};
		}

		const result = await this.#core.propose(input.programId, {
			type: 'retry-call',
			nowMs: this.#core.commandTimeMs(input.programId),
			programId: input.programId,
			requestId: input.requestId,
			lostAttempt: call.intent.attempt,
			reservedTokens: call.reservedTokens,
			intent: {
				attempt: call.intent.attempt + 1,
				upstreamId: route.upstream.name,
				dispatcherId: route.dispatcherId,
				dispatcherIncarnation: route.dispatcherIncarnation,
			},
		});
		if (result.outcome === 'retried') {
			this.#core.context.retries.increment({
				step: 'call',
				reason: 'attempt-lost',
			});
			return this.#accepter.describeOpen(input, result.call, partial);
		}

		if (result.outcome === 'refused') {
			await this.#settle(call, {
				status: 'failed',
				verdict: 'may-have-run',
				reason: result.reason,
				message: `The attempt was lost and cannot be repeated: ${result.message}`,
			});
		}

		return this.#describeCurrent(input);
	}

	/**
	 * Finds a route for the next attempt; undefined while there is none. The call is not refused then,
	 * because the lost attempt may have run.
	 */
	async #findRoute(
		input: AcceptInput,
		call: OpenCallDescription,
	): Promise<Route | undefined> {
		const program = await this.#core.openProgram(input.programId);
		try {
			this.#core.configuration.assertLease();
			return routeCall(this.#core, this.#loads, {
				program,
				target: input.target,
				zone: input.zone,
				promptTokens: estimatePromptTokens(
					[program.historyBytes],
					this.#core.context.settings.limits.bytesPerToken,
				),
				completionTokens: input.maxTokens ?? 0,
				avoid: new Set<UpstreamId>([call.upstreamId]),
			});
		} catch (error) {
			this.#core.context.retries.increment({
				step: 'route-retry',
				reason: reasonOf(error),
			});
			return undefined;
		}
	}

	async #settleNonIdempotent(
		input: AcceptInput,
		call: OpenCallDescription,
		status: InspectionResult,
	): Promise<CallState> {
		if (status === 'gone' || status === 'lost') {
			await this.#settle(call, {
				status: 'failed',
				verdict: 'may-have-run',
				reason: 'dispatcher-lost',
				message: 'The dispatcher was lost after it may have sent the call.',
			});
		} else if (!(await this.#discard(call))) {
			return {status: 'unsure', retryAfterMs};
		}

		return this.#describeCurrent(input);
	}

	/** Settles a call as not run once its dispatcher has confirmed that it will never send it. */
	async #discard(call: OpenCallDescription): Promise<boolean> {
		try {
			const {discarded} = await this.#core.peers.call<{discarded: boolean}>(
				call.dispatcherId,
				'dispatch.discard',
				toAttemptName(call),
				{timeoutMs: dispatcherTimeoutMs},
			);
			if (!discarded) {
				return false;
			}
		} catch (error) {
			this.#core.context.logger.info({
				event: 'discard-not-confirmed',
				dispatcher: call.dispatcherId,
				error: messageOf(error),
			});
			return false;
		}

		await this.#settle(call, {
			status: 'failed',
			verdict: 'not-run',
			reason: 'grant-discarded',
			message: 'The call was discarded before it was sent.',
		});
		return true;
	}

	async #settle(
		call: OpenCallDescription,
		outcome: Extract<CallOutcome, {status: 'failed'}>,
	): Promise<void> {
		this.#core.context.refusals.increment({reason: outcome.reason});
		await this.#core.commit(call.programId, {
			type: 'settle-call',
			nowMs: this.#core.commandTimeMs(call.programId),
			programId: call.programId,
			requestId: call.requestId,
			attempt: call.intent.attempt,
			outcome,
		});
	}

	async #describeCurrent(input: AcceptInput): Promise<CallState> {
		const open = await this.#findOpen(input);
		return open
			? this.#accepter.describeOpen(input, open)
			: this.#describeSettled(input);
	}

	async #findOpen(
		input: AcceptInput,
	): Promise<OpenCallDescription | undefined> {
		const state = await this.#core.leaderStateOf(input.programId);
		const found = findRequest(state, input.programId, input.requestId);
		return found?.status === 'open' ? found.call : undefined;
	}

	async #describeSettled(input: AcceptInput): Promise<CallState> {
		const state = this.#core.stateOf(input.programId);
		const found = findRequest(state, input.programId, input.requestId);
		if (found?.status !== 'settled') {
			throw createRefusedError(
				'request-unknown',
				`Request ${input.requestId} is not known.`,
				'Send the request again with the same request id.',
			);
		}

		return this.#accepter.describeSettled(input.programId, found.record);
	}
}
