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
import {refusal} from '../daemon-context.ts';
import {
	type OwnerCore,
	refusedByMachine,
	unknownProgram,
} from './owner-core.ts';
import {admitModelCall} from './admit-model-call.ts';
import {planMessages} from './plan-messages.ts';
import type {ProgramGates} from './program-gates.ts';
import {type Outstanding, type Route, routeCall} from './route-call.ts';

/** Tokens that a prompt of these sizes takes at most; one byte per entry separates them. */
export const estimatePromptTokens = (
	sizesBytes: readonly number[],
	bytesPerToken: number,
): number =>
	Math.ceil(
		sizesBytes.reduce((sum, sizeBytes) => sum + sizeBytes + 1, 0) /
			bytesPerToken,
	);

/** Limit that ends the call: its own time, or the wall time of its program. */
const timeoutReasonOf = (
	call: OpenCallDescription,
	{deadlineMs}: ProgramDescription,
): Grant['timeoutReason'] => {
	if (call.attemptAtMs + call.timeoutMs >= deadlineMs) {
		return 'wall-time-limit';
	}

	return call.kind === 'tool' ? 'tool-timeout' : 'call-timeout';
};

/** Accepts calls: order, selectors, budget, route and the commit of the intent. */
export class CallAccepter {
	readonly #core: OwnerCore;
	readonly #gates: ProgramGates;
	readonly #outstanding: Outstanding;

	constructor(core: OwnerCore, gates: ProgramGates, outstanding: Outstanding) {
		this.#core = core;
		this.#gates = gates;
		this.#outstanding = outstanding;
	}

	/**
	 * Accepts a call, or answers a known request id from its record or its open call.
	 *
	 * @throws RefusedError with the reason of the refusal; nothing was recorded as accepted.
	 */
	async accept(input: AcceptInput): Promise<CallState> {
		this.#core.configuration.assertLease();
		const state = await this.#core.lead(input.programId);
		if (findRequest(state, input.programId, input.requestId)) {
			return this.#repeat(input);
		}

		const deadlineMs = performance.now() + input.timeoutMs;
		return this.#gates.enter(input.programId, async () =>
			this.#acceptInOrder(input, deadlineMs),
		);
	}

	/** State of an open call, with everything a dispatcher needs. */
	async describeOpen(
		input: AcceptInput,
		call: OpenCallDescription,
		prefix = '',
	): Promise<CallState> {
		const {programId} = input;
		const state = this.#core.stateOf(programId);
		const program = describeProgram(state, programId);
		if (!program) {
			throw unknownProgram(programId);
		}

		const messages =
			input.kind === 'model' ? await this.readMessages(programId) : [];
		return {
			status: 'granted',
			grant: this.#createGrant(input, call, program),
			payload: {messages, parameters: input.parameters, prefix},
		};
	}

	/** State of a settled call with the text of its answer. */
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

	/** History of a program as messages. */
	async readMessages(programId: ProgramId): Promise<HistoryText[]> {
		const entries = historyEntries(this.#core.stateOf(programId), programId);
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

	async #repeat(input: AcceptInput): Promise<CallState> {
		const result = await this.#core.propose(input.programId, {
			...this.#command(input, []),
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
				return this.#repeat(input);
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

	/** Waits until no other call of the program is open; undefined when the request is known. */
	async #waitForTurn(
		input: AcceptInput,
		deadlineMs: number,
	): Promise<ProgramDescription | undefined> {
		for (;;) {
			const state = await this.#core.lead(input.programId);
			if (findRequest(state, input.programId, input.requestId)) {
				return undefined;
			}

			const program = await this.#core.openProgram(input.programId);
			if (!program.call) {
				return program;
			}

			const leftMs = deadlineMs - performance.now();
			if (leftMs <= 0) {
				throw refusal(
					'program-queue-timeout',
					'The call before this one did not settle in time.',
					'Send the request again.',
				);
			}

			await this.#gates.changed(input.programId, Math.min(leftMs, 1000));
		}
	}

	async #propose(
		input: AcceptInput,
		program: ProgramDescription,
	): Promise<ProgramResult> {
		const {programId, expectedTurn} = input;
		if (expectedTurn !== undefined && expectedTurn !== program.nextTurn) {
			// Not proposed, because a recorded refusal would also refuse the turn when it is next.
			throw refusal(
				'turn-out-of-order',
				`Turn ${expectedTurn} was expected, but turn ${program.nextTurn} is next.`,
				'Send the turn again when it is next.',
			);
		}

		const entries = historyEntries(this.#core.stateOf(programId), programId);
		const messages =
			input.kind === 'model'
				? planMessages(entries, input.messages)
				: input.messages;
		const promptTokens = estimatePromptTokens(
			[
				...entries.map(({lengthBytes}) => lengthBytes),
				...messages.map(({content}) => Buffer.byteLength(content)),
			],
			this.#bytesPerToken,
		);
		const completionTokens = this.#completionTokens(
			input,
			program,
			promptTokens,
		);
		const route = routeCall(this.#core, this.#outstanding, {
			program,
			target: input.target,
			zone: input.zone,
			promptTokens,
			completionTokens,
		});
		if (input.kind === 'model') {
			admitModelCall(this.#core, this.#outstanding, program, route);
		}

		return this.#core.propose(programId, {
			...this.#command(input, messages),
			...this.#operation(input, route),
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

	/** A stated limit is reserved as it is; the default shrinks to what the budget has left. */
	#completionTokens(
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

	#operation(input: AcceptInput, {upstream}: Route) {
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

	#command(input: AcceptInput, messages: HistoryText[]) {
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
			throw refusedByMachine(result);
		}

		throw new TypeError(`Unexpected result ${result.outcome}.`);
	}

	#createGrant(
		input: AcceptInput,
		call: OpenCallDescription,
		program: ProgramDescription,
	): Grant {
		const entries = historyEntries(
			this.#core.stateOf(input.programId),
			input.programId,
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
			timeoutReason: timeoutReasonOf(call, program),
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
