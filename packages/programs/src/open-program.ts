import type {ProgramId} from '@marjoramcove/types';
import {isAmount} from './budget.ts';
import {hashText32, hashText64} from './hash.ts';
import {programOfShard} from './program-id.ts';
import type {ProgramResult} from './results.ts';
import {shareText} from './share-text.ts';
import {createEmptyProgram, type Program, readBudget} from './state.ts';
import {type CommandOf, refuse, type StepContext} from './step-context.ts';

/** Canonical JSON of labels: the order of the keys does not matter. */
const encodeLabels = (labels: Record<string, string>): string =>
	JSON.stringify(
		Object.fromEntries(
			Object.entries(labels).sort(([a], [b]) => (a < b ? -1 : 1)),
		),
	);

/** The budget is left out: a resent command may carry another one after a configuration change. */
const hashOpenCommand = (command: CommandOf<'open-program'>): number =>
	hashText32(
		JSON.stringify([
			command.callerId,
			encodeLabels(command.labels),
			command.parentId,
			command.operationId,
		]),
	);

/** Describes an opened program, also for a resent command. */
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
	callerId: shareText(command.callerId),
	labels: shareText(encodeLabels(command.labels)),
	parentId: command.parentId,
	openHash: hashOpenCommand(command),
	operationKey: operationKeyOf(command),
	tokenLimit: command.budget.tokens,
	turnLimit: command.budget.turns,
	deadlineMs: Math.min(
		nowMs + command.budget.wallTimeMs,
		command.deadlineMs ?? Number.MAX_SAFE_INTEGER,
	),
});

/** Key under which the operation of a caller is known. */
const operationKeyOf = (
	command: CommandOf<'open-program'>,
): string | undefined =>
	command.operationId === undefined
		? undefined
		: hashText64(`${command.callerId}\n${command.operationId}`).toString(36);

/** Program that the same operation or the same id opened before. */
const findExisting = (
	context: StepContext,
	command: CommandOf<'open-program'>,
): Program | undefined => {
	const {programs, operations} = context.state;
	const key = operationKeyOf(command);
	const operated: ProgramId | undefined =
		key === undefined ? undefined : operations.get(key);
	return programs.get(operated ?? command.programId);
};

/** Whether a parent in this shard has set the budget of the sub-agent aside. */
const isCarved = (
	context: StepContext,
	command: CommandOf<'open-program'>,
): boolean => {
	const parent =
		command.parentId && context.state.programs.get(command.parentId);
	if (
		!command.parentId ||
		programOfShard(command.parentId) !== context.state.shard
	) {
		return true;
	}

	const carve = parent?.carves?.find(
		(candidate) => candidate.childId === command.programId,
	);
	return (
		carve !== undefined &&
		!carve.returned &&
		command.budget.tokens <= carve.tokens &&
		command.budget.turns <= carve.turns
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
					`Program ${existing.id} was opened by another command.`,
				);
	}

	const {tokens, turns, wallTimeMs} = command.budget;
	if (
		![tokens, turns, wallTimeMs].every((amount) => isAmount(amount)) ||
		!Number.isSafeInteger(command.deadlineMs ?? 0)
	) {
		return refuse(
			'invalid-input',
			'Each part of the budget must be a whole number that is not negative, and the deadline a whole number.',
		);
	}

	if (!isCarved(context, command)) {
		return refuse(
			'budget-not-carved',
			`The parent ${command.parentId} has no budget set aside for ${command.programId}.`,
		);
	}

	const program = createProgram(command, nowMs);
	state.programs.add(program);
	if (program.operationKey !== undefined) {
		state.operations.set(program.operationKey, program.id);
	}

	return describeOpened(program, nowMs, false);
};
