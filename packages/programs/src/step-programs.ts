import {stepAcceptCall} from './accept-call.ts';
import {assertProgram, assertHistoryGrowth} from './assert-program.ts';
import {stepCarveBudget, stepReturnBudget} from './carve-budget.ts';
import type {ProgramCommand} from './commands.ts';
import {stepEndProgram} from './end-program.ts';
import {stepExpirePrograms} from './expire-programs.ts';
import {stepOpenProgram} from './open-program.ts';
import {shardOfProgram} from './program-id.ts';
import {stepRecordHold} from './renew-hold.ts';
import {
	stepAbandonProgram,
	stepRecordRelease,
	stepRecordReturn,
} from './release.ts';
import type {ProgramResult, ProgramStep} from './results.ts';
import {stepRetryCall} from './retry-call.ts';
import {stepSettleCall} from './settle-call.ts';
import type {ProgramsState} from './state.ts';
import {refuse, type StepContext} from './step-context.ts';

/**
 * Whether a command could be a delayed duplicate from before a tombstone was dropped. Such a duplicate
 * must not create the program again.
 */
const isTooOld = (state: ProgramsState, command: ProgramCommand): boolean =>
	(command.type === 'open-program' || command.type === 'abandon-program') &&
	command.nowMs <
		Math.max(
			state.droppedBeforeMs,
			state.clockMs - state.limits.tombstoneRetentionMs,
		);

const applyCommand = (
	context: StepContext,
	command: ProgramCommand,
): ProgramResult => {
	switch (command.type) {
		case 'open-program': {
			return stepOpenProgram(context, command);
		}

		case 'carve-budget': {
			return stepCarveBudget(context, command);
		}

		case 'return-budget': {
			return stepReturnBudget(context, command);
		}

		case 'accept-call': {
			return stepAcceptCall(context, command);
		}

		case 'retry-call': {
			return stepRetryCall(context, command);
		}

		case 'settle-call': {
			return stepSettleCall(context, command);
		}

		case 'end-program': {
			return stepEndProgram(context, command);
		}

		case 'expire-programs': {
			return stepExpirePrograms(context, command);
		}

		case 'record-hold': {
			return stepRecordHold(context, command);
		}

		case 'record-release': {
			return stepRecordRelease(context, command);
		}

		case 'record-return': {
			return stepRecordReturn(context, command);
		}

		case 'abandon-program': {
			return stepAbandonProgram(context, command);
		}
	}
};

/** Refuses commands that are invalid, belong to another shard or are too old. */
const findRefusal = (
	state: ProgramsState,
	command: ProgramCommand,
): ProgramResult | undefined => {
	if (!Number.isSafeInteger(command.nowMs) || command.nowMs < 0) {
		return refuse(
			'invalid-input',
			'The time of a command must be a non-negative integer.',
		);
	}

	if (
		'programId' in command &&
		shardOfProgram(command.programId) !== state.shard
	) {
		return refuse(
			'wrong-shard',
			`Program ${command.programId} does not belong to shard ${state.shard}.`,
		);
	}

	return isTooOld(state, command)
		? refuse(
				'command-too-old',
				'The command is too old: its program may have ended and been dropped since.',
			)
		: undefined;
};

/**
 * Applies one command of the replicated log of a shard to the state, which is modified in place.
 * Commands may be duplicated, delayed and reordered; the time of the state never decreases.
 *
 * @throws InvariantViolationError when an invariant is violated after the step.
 * @example
 * ```ts
 * const {state, result, appended} = stepPrograms(previous, command);
 * ```
 */
export const stepPrograms = (
	state: ProgramsState,
	command: ProgramCommand,
): ProgramStep<ProgramsState> => {
	const refusal = findRefusal(state, command);
	if (refusal) {
		return {state, result: refusal, appended: []};
	}

	state.clockMs = Math.max(state.clockMs, command.nowMs);
	const context: StepContext = {state, nowMs: state.clockMs, appended: []};
	const historyBefore = state.historyLengthBytes;
	const result = applyCommand(context, command);
	assertHistoryGrowth(context, historyBefore, command);
	// Unedited programs were checked when they were packed.
	for (const programId of state.programs.edited) {
		assertProgram(state, programId, command);
	}

	state.programs.commit();

	return {state, result, appended: context.appended};
};
