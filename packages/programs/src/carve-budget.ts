import {freeTokens, freeTurns, isAmount} from './budget.ts';
import type {ProgramResult} from './results.ts';
import type {Carve, Program} from './state.ts';
import {
	type CommandOf,
	refuse,
	type StepContext,
	refuseUnknown,
} from './step-context.ts';

type CarveBudget = CommandOf<'carve-budget'>;

const describeCarve = (
	program: Program,
	carve: Carve,
	leftMs: number,
	repeated: boolean,
): ProgramResult => ({
	outcome: 'carved',
	childId: carve.childId,
	budget: {
		tokens: carve.tokens,
		turns: carve.turns,
		wallTimeMs: Math.max(0, leftMs),
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
			'The wall time of the program is used up.',
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
			'Each part of the budget must be a whole number that is not negative, and the sub-agent another program.',
		);
	}

	if (
		(program.carves?.length ?? 0) >= context.state.limits.childrenPerProgram
	) {
		return refuse(
			'child-limit',
			`The program has started ${program.carves!.length} sub-agents.`,
		);
	}

	if (freeTurns(program) < budget.turns) {
		return refuse(
			'turn-limit',
			`${budget.turns} turns are asked for, but ${freeTurns(program)} are free.`,
		);
	}

	return freeTokens(program) < budget.tokens
		? refuse(
				'token-budget',
				`${budget.tokens} tokens are asked for, but ${freeTokens(program)} are free.`,
			)
		: undefined;
};

/** Applies `carve-budget`: sets part of the budget aside for one sub-agent, once. */
export const stepCarveBudget = (
	context: StepContext,
	command: CarveBudget,
): ProgramResult => {
	const program = context.state.programs.edit(command.programId);
	if (!program) {
		return refuseUnknown(command.programId);
	}

	const leftMs = Math.min(
		command.budget.wallTimeMs,
		program.deadlineMs - context.nowMs,
	);
	const existing = program.carves?.find(
		(carve) => carve.childId === command.childId,
	);
	if (existing) {
		return existing.returned
			? {outcome: 'done', repeated: true}
			: describeCarve(program, existing, leftMs, true);
	}

	const refusal = findRefusal(context, program, command);
	if (refusal) {
		return refusal;
	}

	const {tokens, turns} = command.budget;
	const carve = {childId: command.childId, tokens, turns, returned: false};
	program.carves = [...(program.carves ?? []), carve];
	program.carvedTokens += tokens;
	program.carvedTurns += turns;
	return describeCarve(program, carve, leftMs, false);
};

/** Applies `return-budget`: charges what the sub-agent spent and frees the rest, once. */
export const stepReturnBudget = (
	context: StepContext,
	command: CommandOf<'return-budget'>,
): ProgramResult => {
	const program = context.state.programs.edit(command.programId);
	const carve = program?.carves?.find(
		(candidate) => candidate.childId === command.childId,
	);
	if (!program || !carve || carve.returned) {
		return {outcome: 'done', repeated: true};
	}

	if (
		!isAmount(command.spentTokens) ||
		!isAmount(command.spentTurns) ||
		command.spentTokens > carve.tokens ||
		command.spentTurns > carve.turns
	) {
		return refuse(
			'invalid-input',
			`The sub-agent had ${carve.tokens} tokens and ${carve.turns} turns; it cannot have spent ${command.spentTokens} and ${command.spentTurns}.`,
		);
	}

	carve.returned = true;
	program.carvedTokens -= carve.tokens;
	program.carvedTurns -= carve.turns;
	program.spentTokens += command.spentTokens;
	program.spentTurns += command.spentTurns;
	return {outcome: 'done', repeated: false};
};
