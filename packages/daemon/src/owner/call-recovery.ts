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
	type AttemptName,
	type AttemptStatus,
	type CallState,
} from '../call-contracts.ts';
import {refusal} from '../daemon-context.ts';
import {type CallAccepter, estimatePromptTokens} from './call-accepter.ts';
import type {OpenCallLoads} from './open-call-loads.ts';
import {type OwnerCore} from './owner-core.ts';
import {type Route, routeCall} from './route-call.ts';

/** What is known of the attempt at its dispatcher. */
type Finding = AttemptStatus | 'gone' | 'unsure';

const dispatcherTimeoutMs = 1000;
const retryAfterMs = 200;
const routeRetryAfterMs = 500;

const nameOf = (call: OpenCallDescription): AttemptName => ({
	programId: call.programId,
	requestId: call.requestId,
	attempt: call.intent.attempt,
	dispatcherIncarnation: call.dispatcherIncarnation,
});

/** Decides what follows after an attempt was lost: another attempt, or an honest verdict. */
export class CallRecovery {
	readonly #core: OwnerCore;
	readonly #accepter: CallAccepter;
	readonly #loads: OpenCallLoads;
	/** Time since which the dispatcher of an attempt cannot be reached, by attempt. */
	readonly #unsureSinceMs = new Map<string, number>();

	constructor(core: OwnerCore, accepter: CallAccepter, loads: OpenCallLoads) {
		this.#core = core;
		this.#accepter = accepter;
		this.#loads = loads;
	}

	/** Handles the report that an attempt is lost; any number of reports have one effect. */
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

		const finding = await this.#inspect(open);
		if (finding === 'queued' || finding === 'sent') {
			return this.#accepter.describeOpen(input, open);
		}

		if (finding === 'unsure' || finding === 'settled') {
			return {status: 'unsure', retryAfterMs};
		}

		return open.idempotent
			? this.#retry(input, open, partial)
			: this.#settleUnrepeatable(input, open, finding);
	}

	/** Settles a non-idempotent call whose attempt was lost; undefined while that is not certain. */
	async settleLost(call: OpenCallDescription): Promise<void> {
		const finding = await this.#inspect(call);
		if (finding === 'gone') {
			await this.#settle(call, {
				status: 'failed',
				verdict: 'may-have-run',
				reason: 'dispatcher-lost',
				message: 'The dispatcher was lost after it may have sent the call.',
			});
		} else if (finding === 'unknown') {
			await this.#discard(call);
		}
	}

	/** Whether the attempt will not settle by itself. */
	async isLost(call: OpenCallDescription): Promise<boolean> {
		const finding = await this.#inspect(call);
		return !['queued', 'sent', 'settled', 'unsure'].includes(finding);
	}

	/** What the dispatcher knows of the attempt; `gone` when its incarnation has ended. */
	async #inspect(call: OpenCallDescription): Promise<Finding> {
		const {dispatcherId, dispatcherIncarnation} = call;
		const key = attemptKey(nameOf(call));
		try {
			const answer = await this.#core.peers.call<{
				incarnation: string;
				statuses: AttemptStatus[];
			}>(
				dispatcherId,
				'dispatch.status',
				{attempts: [nameOf(call)]},
				{timeoutMs: dispatcherTimeoutMs},
			);
			this.#unsureSinceMs.delete(key);
			return answer.incarnation === dispatcherIncarnation
				? answer.statuses[0]!
				: 'gone';
		} catch (error) {
			const member = this.#core.configuration.members.get(dispatcherId);
			const isReplaced =
				this.#core.configuration.hasLease &&
				member?.incarnation !== dispatcherIncarnation;
			const sinceMs = this.#unsureSinceMs.get(key) ?? performance.now();
			this.#unsureSinceMs.set(key, sinceMs);
			const {linkTimeoutMs} = this.#core.context.settings.timing;
			const isOld = performance.now() - sinceMs > linkTimeoutMs;
			this.#core.context.logger.debug({
				event: 'dispatcher-unreachable',
				dispatcher: dispatcherId,
				reason: reasonOf(error),
			});
			if (isReplaced || isOld) {
				this.#unsureSinceMs.delete(key);
				return 'gone';
			}

			return 'unsure';
		}
	}

	/** Records the next attempt, or settles the call when its limits allow none. */
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

		return this.#current(input);
	}

	/**
	 * Route of the next attempt; undefined while there is none. That is no refusal of the call, because
	 * the lost attempt may have run.
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

	async #settleUnrepeatable(
		input: AcceptInput,
		call: OpenCallDescription,
		finding: Finding,
	): Promise<CallState> {
		if (finding === 'gone' || finding === 'lost') {
			await this.#settle(call, {
				status: 'failed',
				verdict: 'may-have-run',
				reason: 'dispatcher-lost',
				message: 'The dispatcher was lost after it may have sent the call.',
			});
		} else if (!(await this.#discard(call))) {
			return {status: 'unsure', retryAfterMs};
		}

		return this.#current(input);
	}

	/** Settles a call as not run once its dispatcher has confirmed that it will never send it. */
	async #discard(call: OpenCallDescription): Promise<boolean> {
		try {
			const {discarded} = await this.#core.peers.call<{discarded: boolean}>(
				call.dispatcherId,
				'dispatch.discard',
				nameOf(call),
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

	async #current(input: AcceptInput): Promise<CallState> {
		const open = await this.#findOpen(input);
		return open
			? this.#accepter.describeOpen(input, open)
			: this.#describeSettled(input);
	}

	async #findOpen(
		input: AcceptInput,
	): Promise<OpenCallDescription | undefined> {
		const state = await this.#core.lead(input.programId);
		const found = findRequest(state, input.programId, input.requestId);
		return found?.status === 'open' ? found.call : undefined;
	}

	async #describeSettled(input: AcceptInput): Promise<CallState> {
		const state = this.#core.stateOf(input.programId);
		const found = findRequest(state, input.programId, input.requestId);
		if (found?.status !== 'settled') {
			throw refusal(
				'request-unknown',
				`Request ${input.requestId} is not known.`,
				'Send the request again with the same request id.',
			);
		}

		return this.#accepter.describeSettled(input.programId, found.record);
	}
}
