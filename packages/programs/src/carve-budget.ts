import {freeTokens, freeTurns, isAmount} from './budget.ts';
import type {ProgramResult} from './results.ts';
import type {ChildBudget, Program} from './state.ts';
import {
	type CommandOf,
	refuse,
	type StepContext,
	refuseUnknownProgram,
} from './step-context.ts';

type CarveBudget = CommandOf<'carve-budget'>;

const describeChildBudget = (
	program: Program,
	child: ChildBudget,
	remainingMs: number,
	repeated: boolean,
): ProgramResult => ({
	outcome: 'carved',
	childId: child.childId,
	budget: {
		tokens: child.tokens,
		turns: child.turns,
		wallTimeMs: Math.max(0, remainingMs),
	},
	deadlineMs: program.deadlineMs,
	repeated,
});

const findRefusal = (
	context: StepContext,
	program: Program,
	{budget, childId}: CarveBudget,
): ProgramResult | undefined => {
	if (program.endedReason !== undefined) {
		return refuse(
			'program-ended',
			`The program has ended: ${program.endedReason}.`,
		);
	}

	if (context.nowMs >= program.deadlineMs) {
		return refuse(
			'wall-time-limit',
			'The program has reached its wall-time limit.',
		);
	}

	if (
		![budget.tokens, budget.turns, budget.wallTimeMs].every((amount) =>
			isAmount(amount),
		) ||
		childId === program.id
	) {
		return refuse(
			'invalid-input',
			'Each amount of the budget must be a non-negative integer, and the sub-agent must differ from its parent.',
		);
	}

	if (
		(program.childBudgets?.length ?? 0) >=
		context.state.limits.childrenPerProgram
	) {
		return refuse(
			'child-limit',
			`The program has started ${program.childBudgets!.length} sub-agents.`,
		);
	}

	if (freeTurns(program) < budget.turns) {
		return refuse(
			'turn-limit',
			`The sub-agent needs ${budget.turns} turns, but only ${freeTurns(program)} are available.`,
		);
	}

	return freeTokens(program) < budget.tokens
		? refuse(
				'token-budget',
				`The sub-agent needs ${budget.tokens} tokens, but only ${freeTokens(program)} are available.`,
			)
		: undefined;
};

/** Applies `carve-budget`: allocates part of the budget to a sub-agent; a repeated command has no effect. */
export const stepCarveBudget = (
	context: StepContext,
	command: CarveBudget,
): ProgramResult => {
	const program = context.state.programs.edit(command.programId);
	if (!program) {
		return refuseUnknownProgram(command.programId);
	}

	const remainingMs = Math.min(
		command.budget.wallTimeMs,
		program.deadlineMs - context.nowMs,
	);
	const existing = program.childBudgets?.find(
		(candidate) => candidate.childId === command.childId,
	);
	if (existing) {
		return existing.returned
			? {outcome: 'done', repeated: true}
			: describeChildBudget(program, existing, remainingMs, true);
	}

	const refusal = findRefusal(context, program, command);
	if (refusal) {
		return refusal;
	}

	const {tokens, turns} = command.budget;
	const child = {childId: command.childId, tokens, turns, returned: false};
	program.childBudgets = [...(program.childBudgets ?? []), child];
	program.childTokens += tokens;
	program.childTurns += turns;
	return describeChildBudget(program, child, remainingMs, false);
};

/**
 * Applies `return-budget`: charges what the sub-agent spent and frees the rest; a repeated command
 * has no effect.
 */
export const stepReturnBudget = (
	context: StepContext,
	command: CommandOf<'return-budget'>,
): ProgramResult => {
	const program = context.state.programs.edit(command.programId);
	const child = program?.childBudgets?.find(
		(candidate) => candidate.childId === command.childId,
	);
	if (!program || !child || child.returned) {
		return {outcome: 'done', repeated: true};
	}

	if (
		!isAmount(command.spentTokens) ||
		!isAmount(command.spentTurns) ||
		command.spentTokens > child.tokens ||
		command.spentTurns > child.turns
	) {
		return refuse(
			'invalid-input',
			`The sub-agent had ${child.tokens} tokens and ${child.turns} turns; it cannot have spent ${command.spentTokens} and ${command.spentTurns}.`,
		);
	}

	child.returned = true;
	program.childTokens -= child.tokens;
	program.childTurns -= child.turns;
	program.spentTokens += command.spentTokens;
	program.spentTurns += command.spentTurns;
	return {outcome: 'done', repeated: false};
};
