import type {UpstreamId} from '@marjoramcove/types';
import type {ProgramResult} from './results.ts';
import type {OpenCall, Program} from './state.ts';
import {
	type CommandOf,
	refuse,
	refuseUnknown,
	type StepContext,
} from './step-context.ts';

/** More than the attempts that a record can count, so that each attempt has its own hold number. */
const ATTEMPTS_PER_TURN = 256;

/** Records that the engine of a model call may hold memory for the program from now on. */
export const renewHold = (program: Program, call: OpenCall): void => {
	if (call.kind !== 'model') {
		return;
	}

	const {upstreamId, attempt} = call.intent;
	setHold(program, upstreamId, call.turn * ATTEMPTS_PER_TURN + attempt);
};

const setHold = (
	program: Program,
	upstreamId: UpstreamId,
	turn: number,
): void => {
	const hold = program.holds.find(
		(candidate) => candidate.upstreamId === upstreamId,
	);
	if (hold) {
		hold.turn = turn;
	} else {
		// A pushed array would reserve room for 17 items.
		program.holds = [...program.holds, {upstreamId, turn}];
	}
};

/** Applies `record-hold`: it is newer than all holds so far and older than that of the next call. */
export const stepRecordHold = (
	{state}: StepContext,
	{programId, upstreamId}: CommandOf<'record-hold'>,
): ProgramResult => {
	const program = state.programs.edit(programId);
	if (!program) {
		return refuseUnknown(programId);
	}

	if (program.endedReason !== undefined) {
		return refuse('program-ended', 'An ended program takes no new hold.');
	}

	if (program.call) {
		return refuse('call-in-progress', 'A call of the program is open.');
	}

	const newest = Math.max(0, ...program.holds.map(({turn}) => turn));
	if ((newest + 1) % ATTEMPTS_PER_TURN === 0) {
		return refuse('attempt-limit', 'Too many holds since the last call.');
	}

	setHold(program, upstreamId, newest + 1);
	return {outcome: 'done', repeated: false};
};
