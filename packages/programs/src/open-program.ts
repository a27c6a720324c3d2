import type {ProgramId} from '@marjoramcove/types';
import {isAmount} from './budget.ts';
import {deduplicateText} from './deduplicate-text.ts';
import {hashText32, hashText64} from './hash.ts';
import {shardOfProgram} from './program-id.ts';
import type {ProgramResult} from './results.ts';
import {createEmptyProgram, type Program, readBudget} from './state.ts';
import {type CommandOf, refuse, type StepContext} from './step-context.ts';

/** Encodes labels as canonical JSON with sorted keys. */
const encodeLabels = (labels: Record<string, string>): string =>
	JSON.stringify(
		Object.fromEntries(
			Object.entries(labels).sort(([a], [b]) => (a < b ? -1 : 1)),
		),
	);

/**
 * Hashes the fields that identify an opening command. The budget is excluded, because a repeated
 * command may carry another budget after a configuration change.
 */
const hashOpenCommand = (command: CommandOf<'open-program'>): number =>
	hashText32(
		JSON.stringify([
			command.callerId,
			encodeLabels(command.labels),
			command.parentId,
			command.operationId,
		]),
	);

/** Describes an opened program, also for a repeated command. */
const describeOpened = (
	program: Program,
	nowMs: number,
	repeated: boolean,
): ProgramResult => ({
	outcome: 'opened',
	programId: program.id,
	budget: readBudget(program, nowMs),
	deadlineMs: program.deadlineMs,
	repeated,
});

const createProgram = (
	command: CommandOf<'open-program'>,
	nowMs: number,
): Program => ({
	...createEmptyProgram(command.programId),
	callerId: deduplicateText(command.callerId),
	labels: deduplicateText(encodeLabels(command.labels)),
	parentId: command.parentId,
	openHash: hashOpenCommand(command),
	operationKey: hashOperation(command),
	tokenLimit: command.budget.tokens,
	turnLimit: command.budget.turns,
	deadlineMs: Math.min(
		nowMs + command.budget.wallTimeMs,
		command.deadlineMs ?? Number.MAX_SAFE_INTEGER,
	),
});

/** Computes the key of the caller's operation in `ProgramsState.operations`. */
const hashOperation = (
	command: CommandOf<'open-program'>,
): string | undefined =>
	command.operationId === undefined
		? undefined
		: hashText64(`${command.callerId}\n${command.operationId}`).toString(36);

/** Finds a program that was opened before by the same operation or with the same id. */
const findExisting = (
	context: StepContext,
	command: CommandOf<'open-program'>,
): Program | undefined => {
	const {programs, operations} = context.state;
	const key = hashOperation(command);
	const existingId: ProgramId | undefined =
		key === undefined ? undefined : operations.get(key);
	return programs.get(existingId ?? command.programId);
};

/**
 * Whether the parent has allocated the budget of the sub-agent. It is also true for a program without
 * a parent and for a parent in another shard, whose allocation is not visible here.
 */
const hasChildBudget = (
	context: StepContext,
	command: CommandOf<'open-program'>,
): boolean => {
	const parent =
		command.parentId && context.state.programs.get(command.parentId);
	if (
		!command.parentId ||
		shardOfProgram(command.parentId) !== context.state.shard
	) {
		return true;
	}

	const child = parent?.childBudgets?.find(
		(candidate) => candidate.childId === command.programId,
	);
	return (
		child !== undefined &&
		!child.returned &&
		command.budget.tokens <= child.tokens &&
		command.budget.turns <= child.turns
	);
};

/** Applies `open-program`. */
export const stepOpenProgram = (
	context: StepContext,
	command: CommandOf<'open-program'>,
): ProgramResult => {
	const {state, nowMs} = context;
	const existing = findExisting(context, command);
	if (existing) {
		return existing.openHash === hashOpenCommand(command)
			? describeOpened(existing, nowMs, true)
			: refuse(
					'program-exists',
					`Program ${existing.id} was already opened by a different command.`,
				);
	}

	const {tokens, turns, wallTimeMs} = command.budget;
	if (
		![tokens, turns, wallTimeMs].every((amount) => isAmount(amount)) ||
		!Number.isSafeInteger(command.deadlineMs ?? 0)
	) {
		return refuse(
			'invalid-input',
			'Each amount of the budget must be a non-negative integer, and the deadline must be an integer.',
		);
	}

	if (!hasChildBudget(context, command)) {
		return refuse(
			'budget-not-carved',
			`The parent ${command.parentId} has not allocated this budget to ${command.programId}.`,
		);
	}

	const program = createProgram(command, nowMs);
	state.programs.add(program);
	if (program.operationKey !== undefined) {
		state.operations.set(program.operationKey, program.id);
	}

	return describeOpened(program, nowMs, false);
};
