import type {ProgramId} from '@marjoramcove/types';
import type {HistoryText, ProgramCommand} from './commands.ts';
import {appendEntry} from './history-entries.ts';
import type {ProgramRefusalReason, ProgramResult} from './results.ts';
import type {Program, ProgramsState} from './state.ts';

/** State, time and output of one step. */
export type StepContext = {
	state: ProgramsState;
	/** Time of the step; it is never earlier than that of a previous step. */
	nowMs: number;
	/** Texts to append to the history stream, in this order. */
	appended: HistoryText[];
};

/** Member of the command union with the given type. */
export type CommandOf<Type extends ProgramCommand['type']> = Extract<
	ProgramCommand,
	{type: Type}
>;

/** Creates the result of a command that is refused without effect. */
export const refuse = (
	reason: ProgramRefusalReason,
	message: string,
): Extract<ProgramResult, {outcome: 'refused'}> => ({
	outcome: 'refused',
	reason,
	verdict: 'not-run',
	message,
});

/** Appends a text to the history stream and to the entries of the program; returns its entry index. */
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

/** Refuses a command for a program that does not exist in this shard. */
export const refuseUnknownProgram = (
	programId: ProgramId,
): ReturnType<typeof refuse> =>
	refuse('program-unknown', `Unknown program ${programId}.`);
