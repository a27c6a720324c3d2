import type {ProgramId} from '@marjoramcove/types';
import type {HistoryText, ProgramCommand} from './commands.ts';
import {appendEntry} from './history-entries.ts';
import type {ProgramRefusalReason, ProgramResult} from './results.ts';
import type {Program, ProgramsState} from './state.ts';

/** What one step works on. */
export type StepContext = {
	state: ProgramsState;
	/** Time of the step: never before that of an earlier one. */
	nowMs: number;
	appended: HistoryText[];
};

/** The member of the command union with this type. */
export type CommandOf<Type extends ProgramCommand['type']> = Extract<
	ProgramCommand,
	{type: Type}
>;

/** Result of a command that was refused without effect. */
export const refuse = (
	reason: ProgramRefusalReason,
	message: string,
): Extract<ProgramResult, {outcome: 'refused'}> => ({
	outcome: 'refused',
	reason,
	verdict: 'not-run',
	message,
});

/** Appends a text to the history stream and to the entries of the program; returns its index. */
export const appendHistory = (
	context: StepContext,
	program: Program,
	text: HistoryText,
): number => {
	const {state} = context;
	const lengthBytes = Buffer.byteLength(text.content);
	appendEntry(program, state.texts, text, state.historyLengthBytes);
	state.historyLengthBytes += lengthBytes;
	program.historyBytes += lengthBytes;
	context.appended.push(text);
	return program.entryCount - 1;
};

/** Refusal of a command for a program that this shard does not know. */
export const refuseUnknown = (
	programId: ProgramId,
): ReturnType<typeof refuse> =>
	refuse('program-unknown', `No program ${programId} is known.`);
