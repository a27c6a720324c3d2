import type {OpenCall, Program} from './state.ts';

/** More than the attempts that a record can count, so that each attempt has its own hold number. */
const ATTEMPTS_PER_TURN = 256;

/** Records that the engine of a model call may hold memory for the program from now on. */
export const renewHold = (program: Program, call: OpenCall): void => {
	if (call.kind !== 'model') {
		return;
	}

	const {upstreamId, attempt} = call.intent;
	const turn = call.turn * ATTEMPTS_PER_TURN + attempt;
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
