import type {OpenCall, Program} from './state.ts';

/** Records that the engine of a model call may hold memory for the program from now on. */
export const renewHold = (program: Program, call: OpenCall): void => {
	if (call.kind !== 'model') {
		return;
	}

	const {upstreamId} = call.intent;
	const hold = program.holds.find(
		(candidate) => candidate.upstreamId === upstreamId,
	);
	if (hold) {
		hold.turn = call.turn;
	} else {
		program.holds.push({upstreamId, turn: call.turn});
	}
};
