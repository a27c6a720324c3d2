import {
	type CommandOf,
	type StepContext,
	appendHistory,
	refuseUnknownProgram,
} from './step-context.ts';
import {
	appendRecord,
	dropOldRecords,
	hashRequestId,
} from './request-records.ts';
import type {CancelledCall, ProgramResult} from './results.ts';
import type {Program, ProgramsState} from './state.ts';
import {internText} from './text-table.ts';

/** Settles the open call as cancelled: it may have run, so its reservation is charged in full. */
export const cancelCall = (
	context: StepContext,
	program: Program,
	reason: string,
): CancelledCall[] => {
	const {call} = program;
	if (!call) {
		return [];
	}

	const entryIndex = appendHistory(context, program, {
		role: 'error',
		content: `The call was cancelled: ${reason}.`,
	});
	program.spentTokens += call.reservedTokens;
	appendRecord(
		program,
		{
			idHash: hashRequestId(call.requestId),
			bodyHash: call.bodyHash,
			turn: call.turn,
			attempt: call.intent.attempt,
			answered: false,
			verdict: 'may-have-run',
			kind: call.kind,
			idempotent: call.idempotent,
			refused: false,
			textIndex: internText(context.state.texts, reason),
			entryIndex,
		},
		context.state.limits.recordsPerProgram,
	);
	program.call = undefined;
	return [
		{
			programId: program.id,
			requestId: call.requestId,
			intent: call.intent,
			reason,
		},
	];
};

/**
 * Drops all records except the newest and those of non-idempotent calls. The history remains readable
 * until the tombstone is dropped.
 */
const shrinkToTombstone = (state: ProgramsState, program: Program): void => {
	dropOldRecords(program, state.limits.recordsPerEndedProgram);
};

/** Ends a program: cancels its open call and makes its holds pending releases. */
export const endProgram = (
	context: StepContext,
	program: Program,
	reason: string,
): CancelledCall[] => {
	const cancelled = cancelCall(context, program, reason);
	program.endedReason =
		context.state.texts[internText(context.state.texts, reason)]!;
	program.endedAtMs = context.nowMs;
	program.returnPending = program.parentId === undefined ? undefined : true;
	shrinkToTombstone(context.state, program);
	return cancelled;
};

/** Applies `end-program`. */
export const stepEndProgram = (
	context: StepContext,
	command: CommandOf<'end-program'>,
): ProgramResult => {
	const program = context.state.programs.edit(command.programId);
	if (!program) {
		return refuseUnknownProgram(command.programId);
	}

	if (program.endedReason !== undefined) {
		return {
			outcome: 'ended',
			reason: program.endedReason,
			repeated: true,
			cancelled: [],
		};
	}

	const cancelled = endProgram(context, program, command.reason);
	return {
		outcome: 'ended',
		reason: program.endedReason!,
		repeated: false,
		cancelled,
	};
};
