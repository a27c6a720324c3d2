import type {UpstreamResource} from '@marjoramcove/configuration';
import {type ProgramResult, shardOfProgram} from '@marjoramcove/programs';
import type {DaemonContext} from '../daemon-context.ts';
import type {GroupClientService} from '../services/group-client-service.ts';
import {shardGroup} from '../services/replication-service.ts';
import type {UpstreamsService} from '../services/upstreams-service.ts';
import type {SpeedObservation} from '../owner/observed-speeds.ts';
import type {AttemptResult, CallRun} from './call-run.ts';
import {messageMarker} from './assemble-chat-messages.ts';
import {computeTimeRatio} from './compute-time-ratio.ts';
import type {AttemptEnd} from './run-model-call.ts';

const settleGraceMs = 20_000;
const settleAttemptTimeoutMs = 3000;

/** Ends attempts: records their outcome at the owner, or ends them as lost for the owner to recover. */
export class AttemptSettler {
	readonly #context: DaemonContext;
	readonly #groups: GroupClientService;
	readonly #upstreams: UpstreamsService;

	constructor(parts: {
		context: DaemonContext;
		groups: GroupClientService;
		upstreams: UpstreamsService;
	}) {
		this.#context = parts.context;
		this.#groups = parts.groups;
		this.#upstreams = parts.upstreams;
	}

	/** Ends an unsent attempt: it is lost, so that another upstream may take it, or settled as not run. */
	async finishUnsent(run: CallRun, reason: string): Promise<void> {
		this.#context.refusals.increment({reason});
		if (run.grant.idempotent && reason === 'upstream-leaving') {
			run.finish('lost', {type: 'lost', reason});
			return;
		}

		await this.settle(run, {
			outcome: {
				status: 'failed',
				verdict: 'not-run',
				reason,
				message: `The call was not sent: ${reason}.`,
			},
			content: '',
			finishReason: 'error',
		});
	}

	/** Ends an attempt that was sent. */
	async finish(
		run: CallRun,
		upstream: UpstreamResource,
		end: AttemptEnd,
	): Promise<void> {
		if (end.type === 'done') {
			await this.settle(run, end.result);
			return;
		}

		if (end.reason.endsWith('unreachable')) {
			this.#upstreams.markUnreachable(upstream.name);
		}

		if (performance.now() >= run.deadlineMs) {
			await this.settle(run, {
				outcome: {
					status: 'failed',
					verdict: 'may-have-run',
					reason: run.grant.timeoutReason,
					message: 'The call did not end within its time.',
				},
				content: '',
				finishReason: 'error',
			});
			return;
		}

		this.#context.logger.info({
			event: 'attempt-lost',
			programId: run.grant.programId,
			requestId: run.grant.requestId,
			upstream: upstream.name,
			reason: end.reason,
		});
		run.finish('lost', {type: 'lost', reason: end.reason});
	}

	/** Records the outcome at the owner; readers get the end of the answer only after that. */
	async settle(run: CallRun, result: AttemptResult): Promise<void> {
		if (run.isFinished) {
			return;
		}

		const startedMs = performance.now();
		const answer = await this.#groups.call<ProgramResult>(
			shardGroup(shardOfProgram(run.grant.programId)),
			'programs.settle',
			this.#describeOutcome(run, result),
			{
				timeoutMs: Math.max(
					settleGraceMs,
					run.deadlineMs - performance.now() + settleGraceMs,
				),
				attemptTimeoutMs: settleAttemptTimeoutMs,
			},
		);
		this.#context.steps.record(performance.now() - startedMs, {
			step: 'settle',
		});
		if (answer.outcome === 'settled') {
			run.finish('settled', {type: 'final', ...result});
		} else {
			run.finish('lost', {type: 'lost', reason: 'attempt-superseded'});
		}
	}

	/** Skips continued answers: their usage does not show the work of the attempt alone. */
	#measureSpeed(
		{grant, payload, upstreamMs}: CallRun,
		{outcome, usage}: AttemptResult,
	): SpeedObservation | undefined {
		const {target, upstreamId} = grant;
		if (
			!('model' in target) ||
			payload.prefix !== '' ||
			outcome.status !== 'answered' ||
			!usage ||
			upstreamMs === undefined
		) {
			return undefined;
		}

		const {policy} = this.#context.settings;
		const ratio = computeTimeRatio(usage, upstreamMs, policy);
		return ratio === undefined
			? undefined
			: {upstreamId, model: target.model, ratio};
	}

	#describeOutcome(run: CallRun, result: AttemptResult) {
		const {grant} = run;
		const speed = this.#measureSpeed(run, result);
		const isAnswer = result.outcome.status === 'answered';
		const {usage} = result;
		const load =
			grant.kind === 'model'
				? this.#upstreams.lastReport(grant.upstreamId)
				: undefined;
		return {
			programId: grant.programId,
			requestId: grant.requestId,
			attempt: grant.attempt,
			outcome: result.outcome,
			...(isAnswer && {
				answer: {
					role: grant.kind === 'model' ? 'assistant' : 'tool',
					content: encodeAnswer(result),
				},
			}),
			...(usage && {
				usedTokens: usage.prompt_tokens + usage.completion_tokens,
				cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
			}),
			...(result.outcome.verdict === 'not-run' && {usedTokens: 0}),
			...(load && {load: {upstreamId: grant.upstreamId, ...load}}),
			...(speed && {speed}),
		};
	}
}

/** Encodes an answer for the history; one with tool calls is stored as a whole message. */
const encodeAnswer = ({content, toolCalls}: AttemptResult): string =>
	toolCalls
		? `${messageMarker}${JSON.stringify({content: content || null, tool_calls: toolCalls})}`
		: content;
