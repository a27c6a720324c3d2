import type {ProgramResult} from './results.ts';
import {createEmptyProgram} from './state.ts';
import {type CommandOf, refuse, type StepContext} from './step-context.ts';

/**
 * Applies `record-release`: drops the hold on an engine. Only the confirmation for the newest use is
 * valid, even after the end of the program, because a duplicate of an earlier one may arrive that late.
 */
export const stepRecordRelease = (
	context: StepContext,
	command: CommandOf<'record-release'>,
): ProgramResult => {
	const program = context.state.programs.edit(command.programId);
	const hold = program?.holds.find(
		(candidate) => candidate.upstreamId === command.upstreamId,
	);
	if (!program || !hold) {
		return {outcome: 'done', repeated: true};
	}

	const isCurrent =
		command.heldTurn === undefined
			? program.endedAtMs !== undefined && command.nowMs >= program.endedAtMs
			: command.heldTurn === hold.turn;
	if (!isCurrent || program.call?.intent.upstreamId === command.upstreamId) {
		return {outcome: 'ignored', reason: 'hold-renewed'};
	}

	program.holds = program.holds.filter((candidate) => candidate !== hold);
	return {outcome: 'done', repeated: false};
};

/** Applies `record-return`: the parent's shard confirmed the returned budget of an ended sub-agent. */
export const stepRecordReturn = (
	context: StepContext,
	command: CommandOf<'record-return'>,
): ProgramResult => {
	const program = context.state.programs.edit(command.programId);
	if (!program?.returnPending) {
		return {outcome: 'done', repeated: true};
	}

	program.returnPending = false;
	return {outcome: 'done', repeated: false};
};

/** Applies `abandon-program`: records an unknown sub-agent as ended without spending anything. */
export const stepAbandonProgram = (
	context: StepContext,
	command: CommandOf<'abandon-program'>,
): ProgramResult => {
	const {state, nowMs} = context;
	const existing = state.programs.get(command.programId);
	if (existing) {
		return existing.endedReason === undefined
			? refuse(
					'program-exists',
					`Program ${existing.id} was opened and has not ended.`,
				)
			: {
					outcome: 'ended',
					reason: existing.endedReason,
					repeated: true,
					cancelled: [],
				};
	}

	state.programs.add({
		...createEmptyProgram(command.programId),
		parentId: command.parentId,
		deadlineMs: nowMs,
		endedReason: 'abandoned',
		endedAtMs: nowMs,
		returnPending: true,
	});
	return {
		outcome: 'ended',
		reason: 'abandoned',
		repeated: false,
		cancelled: [],
	};
};
