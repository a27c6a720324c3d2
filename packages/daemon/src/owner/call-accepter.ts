import {
	describeProgram,
	findRequest,
	historyEntries,
	type HistoryText,
	type OpenCallDescription,
	type ProgramDescription,
	type ProgramResult,
	type RequestRecord,
} from '@marjoramcove/programs';
import type {IncarnationId, ProgramId, UpstreamId} from '@marjoramcove/types';
import type {AcceptInput, CallState, Grant} from '../call-contracts.ts';
import {createRefusedError} from '../daemon-context.ts';
import {
	type OwnerCore,
	toRefusedError,
	unknownProgramError,
} from './owner-core.ts';
import {admitModelCall} from './admit-model-call.ts';
import type {OpenCallLoads} from './open-call-loads.ts';
import {selectNewMessages} from './select-new-messages.ts';
import type {ProgramQueues} from './program-queues.ts';
import {type Route, routeCall} from './route-call.ts';

/** Upper estimate of the tokens of a prompt with entries of these sizes, plus one byte per entry. */
export const estimatePromptTokens = (
	sizesBytes: readonly number[],
	bytesPerToken: number,
): number =>
	Math.ceil(
		sizesBytes.reduce((sum, sizeBytes) => sum + sizeBytes + 1, 0) /
			bytesPerToken,
	);

/** The limit that the call reaches first: its own timeout or the wall time of its program. */
const findTimeoutReason = (
	call: OpenCallDescription,
	{deadlineMs}: ProgramDescription,
): Grant['timeoutReason'] => {
	if (call.attemptAtMs + call.timeoutMs >= deadlineMs) {
		return 'wall-time-limit';
	}

	return call.kind === 'tool' ? 'tool-timeout' : 'call-timeout';
};

/** Accepts calls: orders them per program, routes them, reserves budget and commits the intent. */
export class CallAccepter {
	readonly #core: OwnerCore;
	readonly #queues: ProgramQueues;
	readonly #loads: OpenCallLoads;

	constructor(core: OwnerCore, queues: ProgramQueues, loads: OpenCallLoads) {
		this.#core = core;
		this.#queues = queues;
		this.#loads = loads;
	}

	/**
	 * Accepts a call. A known request id is answered from its record or its open call.
	 *
	 * @throws RefusedError with the reason of the refusal; nothing was recorded as accepted.
	 */
	async accept(input: AcceptInput): Promise<CallState> {
		this.#core.configuration.assertLease();
		const state = await this.#core.leaderStateOf(input.programId);
		if (findRequest(state, input.programId, input.requestId)) {
			return this.#answerRepeated(input);
		}

		const deadlineMs = performance.now() + input.timeoutMs;
		return this.#queues.run(input.programId, async () =>
			this.#acceptInOrder(input, deadlineMs),
		);
	}

	/** Describes an open call with the grant and the payload for its dispatcher. */
	async describeOpen(
		input: AcceptInput,
		call: OpenCallDescription,
		prefix = '',
	): Promise<CallState> {
		const {programId} = input;
		const state = this.#core.stateOf(programId);
		const program = describeProgram(state, programId);
		if (!program) {
			throw unknownProgramError(programId);
		}

		const messages =
			input.kind === 'model'
				? await this.readMessages(programId, {withErrors: true})
				: [];
		return {
			status: 'granted',
			grant: this.#createGrant(input, call, program),
			payload: {messages, parameters: input.parameters, prefix},
		};
	}

	/** Describes a settled call with the text of its answer. */
	async describeSettled(
		programId: ProgramId,
		record: RequestRecord,
	): Promise<CallState> {
		const {answer} = record;
		const content = answer
			? await this.#core.replication.readHistory(
					this.#core.groupOf(programId),
					answer.offset,
					answer.lengthBytes,
				)
			: '';
		return {status: 'settled', record, content};
	}

	/** Reads the history of a program as messages; `withErrors` adds those of failed calls for models. */
	async readMessages(
		programId: ProgramId,
		options?: {withErrors: boolean},
	): Promise<HistoryText[]> {
		const entries = historyEntries(
			this.#core.stateOf(programId),
			programId,
			options,
		);
		const groupId = this.#core.groupOf(programId);
		return Promise.all(
			entries.map(async ({role, offset, lengthBytes}) => ({
				role,
				content: await this.#core.replication.readHistory(
					groupId,
					offset,
					lengthBytes,
				),
			})),
		);
	}

	async #answerRepeated(input: AcceptInput): Promise<CallState> {
		const result = await this.#core.propose(input.programId, {
			...this.#createCommand(input, []),
			reservedTokens: 0,
			intent: {
				attempt: 1,
				upstreamId: '' as UpstreamId,
				dispatcherId: this.#core.context.settings.daemonId,
				dispatcherIncarnation: '' as IncarnationId,
			},
		});
		return this.#describeResult(input, result);
	}

	async #acceptInOrder(
		input: AcceptInput,
		deadlineMs: number,
	): Promise<CallState> {
		for (;;) {
			const program = await this.#waitForTurn(input, deadlineMs);
			if (!program) {
				return this.#answerRepeated(input);
			}

			this.#core.configuration.assertLease();
			const result = await this.#propose(input, program);
			if (
				result.outcome !== 'refused' ||
				result.reason !== 'call-in-progress'
			) {
				return this.#describeResult(input, result);
			}
		}
	}

	/** Waits until no other call of the program is open; returns undefined if the request is known. */
	async #waitForTurn(
		input: AcceptInput,
		deadlineMs: number,
	): Promise<ProgramDescription | undefined> {
		for (;;) {
			const state = await this.#core.leaderStateOf(input.programId);
			if (findRequest(state, input.programId, input.requestId)) {
				return undefined;
			}

			const program = await this.#core.openProgram(input.programId);
			if (!program.call) {
				return program;
			}

			const remainingMs = deadlineMs - performance.now();
			if (remainingMs <= 0) {
				throw createRefusedError(
					'program-queue-timeout',
					'The previous call of the program did not settle in time.',
					'Send the request again.',
				);
			}

			await this.#queues.waitForChange(
				input.programId,
				Math.min(remainingMs, 1000),
			);
		}
	}

	async #propose(
		input: AcceptInput,
		program: ProgramDescription,
	): Promise<ProgramResult> {
		const {programId, expectedTurn} = input;
		if (expectedTurn !== undefined && expectedTurn !== program.nextTurn) {
			// Not proposed: a recorded refusal would also refuse the request once its turn is next.
			throw createRefusedError(
				'turn-out-of-order',
				`Turn ${expectedTurn} was expected, but turn ${program.nextTurn} is next.`,
				'Send the turn again when it is next.',
			);
		}

		const entries = historyEntries(this.#core.stateOf(programId), programId, {
			withErrors: true,
		});
		const messages =
			input.kind === 'model'
				? selectNewMessages(entries, input.messages)
				: input.messages;
		const promptTokens = estimatePromptTokens(
			[
				...entries.map(({lengthBytes}) => lengthBytes),
				...messages.map(({content}) => Buffer.byteLength(content)),
			],
			this.#bytesPerToken,
		);
		const completionTokens = this.#completionTokensToReserve(
			input,
			program,
			promptTokens,
		);
		const route = routeCall(this.#core, this.#loads, {
			program,
			target: input.target,
			zone: input.zone,
			promptTokens,
			completionTokens,
		});
		if (input.kind === 'model') {
			admitModelCall(this.#core, program, route.views);
		}

		return this.#core.propose(programId, {
			...this.#createCommand(input, messages),
			...this.#readOperationLimits(input, route),
			reservedTokens:
				input.kind === 'model' ? promptTokens + completionTokens : 0,
			intent: {
				attempt: 1,
				upstreamId: route.upstream.name,
				dispatcherId: route.dispatcherId,
				dispatcherIncarnation: route.dispatcherIncarnation,
			},
		});
	}

	/** Completion tokens to reserve: the requested limit, or the default capped by the free budget. */
	#completionTokensToReserve(
		input: AcceptInput,
		{tokens}: ProgramDescription,
		promptTokens: number,
	): number {
		if (input.kind === 'tool') {
			return 0;
		}

		const freeTokens =
			tokens.limit - tokens.spent - tokens.reserved - tokens.carvedOut;
		return (
			input.maxTokens ??
			Math.max(
				1,
				Math.min(
					this.#core.context.settings.limits.defaultCompletionTokens,
					freeTokens - promptTokens,
				),
			)
		);
	}

	#readOperationLimits(input: AcceptInput, {upstream}: Route) {
		const {target} = input;
		if ('model' in target || upstream.spec.type === 'engine') {
			return {idempotent: true, timeoutMs: Math.floor(input.timeoutMs)};
		}

		const operation = upstream.spec.operations[target.operation]!;
		return {
			idempotent: operation.idempotent,
			timeoutMs: operation.timeoutMs,
		};
	}

	#createCommand(input: AcceptInput, messages: HistoryText[]) {
		const {programId, requestId, bodyHash, kind, expectedTurn} = input;
		return {
			type: 'accept-call' as const,
			nowMs: this.#core.commandTimeMs(programId),
			programId,
			requestId,
			bodyHash,
			kind,
			idempotent: false,
			timeoutMs: Math.floor(input.timeoutMs),
			messages,
			...(expectedTurn !== undefined && {expectedTurn}),
		};
	}

	async #describeResult(
		input: AcceptInput,
		result: ProgramResult,
	): Promise<CallState> {
		if (result.outcome === 'accepted' || result.outcome === 'in-progress') {
			return this.describeOpen(input, result.call);
		}

		if (result.outcome === 'recorded') {
			return this.describeSettled(input.programId, result.record);
		}

		if (result.outcome === 'refused') {
			throw toRefusedError(result);
		}

		throw new TypeError(`Unexpected outcome ${result.outcome} of accept-call.`);
	}

	#createGrant(
		input: AcceptInput,
		call: OpenCallDescription,
		program: ProgramDescription,
	): Grant {
		const entries = historyEntries(
			this.#core.stateOf(input.programId),
			input.programId,
			{withErrors: true},
		);
		const promptTokens = estimatePromptTokens(
			entries.map(({lengthBytes}) => lengthBytes),
			this.#bytesPerToken,
		);
		const selectors = this.#core.configuration.view.selectorsFor(
			program.labels,
		);
		return {
			programId: input.programId,
			requestId: input.requestId,
			attempt: call.intent.attempt,
			turn: call.turn,
			kind: call.kind,
			idempotent: call.idempotent,
			target: input.target,
			callerId: program.callerId as Grant['callerId'],
			upstreamId: call.upstreamId,
			dispatcherId: call.dispatcherId,
			dispatcherIncarnation: call.dispatcherIncarnation,
			timeoutMs: Math.max(
				0,
				call.attemptAtMs +
					call.timeoutMs -
					this.#core.commandTimeMs(input.programId),
			),
			timeoutReason: findTimeoutReason(call, program),
			maxTokens: Math.max(1, call.reservedTokens - promptTokens),
			promptTokens,
			cachedTokens: Math.min(promptTokens, program.cachedTokens),
			attainedTokens: program.tokens.spent,
			priority: selectors[0]?.spec.priority ?? 0,
			deadlineMs: program.deadlineMs,
		};
	}

	get #bytesPerToken(): number {
		return this.#core.context.settings.limits.bytesPerToken;
	}
}
