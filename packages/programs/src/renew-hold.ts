import type {UpstreamId} from '@marjoramcove/types';
import type {ProgramResult} from './results.ts';
import type {OpenCall, Program} from './state.ts';
import {
	type CommandOf,
	refuse,
	refuseUnknownProgram,
	type StepContext,
} from './step-context.ts';

/** Greater than the largest attempt number in a record, so that each attempt has its own hold sequence number. */
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
		// Array.push would allocate capacity for 17 items.
		program.holds = [...program.holds, {upstreamId, turn}];
	}
};

/** Applies `record-hold`: the hold is newer than all existing holds and older than that of the next call. */
export const stepRecordHold = (
	{state}: StepContext,
	{programId, upstreamId}: CommandOf<'record-hold'>,
): ProgramResult => {
	const program = state.programs.edit(programId);
	if (!program) {
		return refuseUnknownProgram(programId);
	}

	if (program.endedReason !== undefined) {
		return refuse('program-ended', 'An ended program cannot get a new hold.');
	}

	if (program.call) {
		return refuse('call-in-progress', 'A call of the program is in progress.');
	}

	const newest = Math.max(0, ...program.holds.map(({turn}) => turn));
	if ((newest + 1) % ATTEMPTS_PER_TURN === 0) {
		return refuse(
			'attempt-limit',
			'Too many holds were recorded since the last call.',
		);
	}

	setHold(program, upstreamId, newest + 1);
	return {outcome: 'done', repeated: false};
};
