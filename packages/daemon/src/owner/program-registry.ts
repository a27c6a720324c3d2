import {
	describeProgram,
	findRequest,
	type ProgramBudget,
	type ProgramDescription,
} from '@marjoramcove/programs';
import type {CallerId, ProgramId, RequestId} from '@marjoramcove/types';
import * as z from 'zod';
import {programIdSchema} from '../call-contracts.ts';
import {createRefusedError} from '../daemon-context.ts';
import type {CallAccepter} from './call-accepter.ts';
import {type OwnerCore, unknownProgramError} from './owner-core.ts';

const budgetSchema = z.object({
	tokens: z.int().min(0),
	turns: z.int().min(0),
	wallTimeMs: z.int().min(0),
});

export const openSchema = z.object({
	programId: programIdSchema,
	callerId: z.string().transform((value) => value as CallerId),
	labels: z.record(z.string(), z.string()),
	budget: budgetSchema,
	parentId: programIdSchema.optional(),
	deadlineMs: z.int().optional(),
	operationId: z.string().optional(),
});
export type OpenInput = z.output<typeof openSchema>;

export const childBudgetSchema = z.object({
	programId: programIdSchema,
	childId: programIdSchema,
	budget: budgetSchema,
});

/** Opens, ends and describes programs at their owner. */
export class ProgramRegistry {
	readonly #core: OwnerCore;
	readonly #accepter: CallAccepter;

	constructor(core: OwnerCore, accepter: CallAccepter) {
		this.#core = core;
		this.#accepter = accepter;
	}

	async open(input: OpenInput) {
		this.#core.configuration.assertLease();
		await this.#core.leaderStateOf(input.programId);
		const budget = this.#core.configuration.view.budgetFor(
			input.labels,
			input.budget,
		);
		if (!budget) {
			throw createRefusedError(
				'no-selector-matches',
				'No selector matches the labels of the program.',
				'Check the labels, or ask the operator for a selector.',
			);
		}

		const result = await this.#core.commit(input.programId, {
			type: 'open-program',
			nowMs: this.#core.commandTimeMs(input.programId),
			...input,
			budget,
		});
		if (result.outcome !== 'opened') {
			throw new TypeError(
				`Unexpected outcome ${result.outcome} of open-program.`,
			);
		}

		const {programId, deadlineMs, repeated} = result;
		return {programId, budget: result.budget, deadlineMs, repeated};
	}

	/** Allocates part of the budget of a program to a sub-agent. */
	async allocateChildBudget(
		input: z.output<typeof childBudgetSchema>,
	): Promise<{budget: ProgramBudget; deadlineMs: number}> {
		this.#core.configuration.assertLease();
		await this.#core.openProgram(input.programId);
		const result = await this.#core.commit(input.programId, {
			type: 'carve-budget',
			nowMs: this.#core.commandTimeMs(input.programId),
			...input,
		});
		if (result.outcome !== 'carved') {
			throw createRefusedError(
				'program-ended',
				'The sub-agent has ended already.',
				'Open another sub-agent with a new operation id.',
			);
		}

		return {budget: result.budget, deadlineMs: result.deadlineMs};
	}

	async end(programId: ProgramId, reason: string) {
		await this.#core.leaderStateOf(programId);
		const result = await this.#core.commit(programId, {
			type: 'end-program',
			nowMs: this.#core.commandTimeMs(programId),
			programId,
			reason,
		});
		return {
			programId,
			reason: result.outcome === 'ended' ? result.reason : reason,
			repeated: result.outcome === 'ended' && result.repeated,
		};
	}

	/** Describes a program after a quorum read barrier, so that the result is not older than the request. */
	async describe(programId: ProgramId): Promise<ProgramDescription> {
		await this.#core.leaderStateOf(programId);
		await this.#core.replication.readBarrier(this.#core.groupOf(programId));
		const program = describeProgram(this.#core.stateOf(programId), programId);
		if (!program) {
			throw unknownProgramError(programId);
		}

		return program;
	}

	async history(programId: ProgramId) {
		await this.describe(programId);
		return {
			programId,
			entries: await this.#accepter.readMessages(programId),
		};
	}

	async request(programId: ProgramId, requestId: RequestId) {
		await this.describe(programId);
		const found = findRequest(
			this.#core.stateOf(programId),
			programId,
			requestId,
		);
		if (!found) {
			throw createRefusedError(
				'request-unknown',
				`Request ${requestId} of the program is not known.`,
				'No call with this id is open or recorded.',
			);
		}

		if (found.status === 'open') {
			return {status: 'open' as const, call: found.call};
		}

		return this.#accepter.describeSettled(programId, found.record);
	}

	/** Lists up to `limit` programs of the shards that this daemon leads. */
	list(limit: number): ProgramDescription[] {
		const {cluster} = this.#core.context.settings;
		const programs: ProgramDescription[] = [];
		for (const [
			shard,
			stateMachine,
		] of this.#core.replication.shards.entries()) {
			const groupId = this.#core.groupOf(`p${shard}-list` as ProgramId);
			if (
				shard >= cluster.shardCount ||
				!this.#core.replication.leadership(groupId).isLeader
			) {
				continue;
			}

			for (const programId of stateMachine.state.programs.keys()) {
				if (programs.length >= limit) {
					return programs;
				}

				programs.push(describeProgram(stateMachine.state, programId)!);
			}
		}

		return programs;
	}
}
