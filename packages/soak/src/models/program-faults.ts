import type {ProgramCommand, ProgramsState} from '@marjoramcove/programs';

/** Faults that can be injected into the model; each must be detected. */
export const PROGRAM_FAULTS = [
	'append-history-twice',
	'drop-carves',
	'drop-records',
	'drop-refusals',
	'forget-hold',
	'forget-open-call',
	'free-unknown-usage',
	'ignore-deadline',
	'resend-after-unknown',
] as const;

export type ProgramFault = (typeof PROGRAM_FAULTS)[number];

/** Bytes of a packed request record. */
const RECORD_BYTES = 19;
/** Bytes of the hash of a request id whose record was dropped. */
const DROPPED_HASH_BYTES = 4;

/** Applies the fault to the state that a new owner loads. */
export const corruptState = (
	state: ProgramsState,
	fault: ProgramFault | undefined,
): void => {
	for (const programId of state.programs.keys()) {
		const program = state.programs.edit(programId)!;
		if (fault === 'drop-carves') {
			program.childBudgets = undefined;
			program.childTokens = 0;
			program.childTurns = 0;
		} else if (fault === 'drop-records') {
			// One hash per dropped record: with fewer, an invariant fails before a call is repeated.
			const count = program.records.length / RECORD_BYTES;
			program.droppedHashes += '\0'.repeat(DROPPED_HASH_BYTES * count);
			program.records = '';
		} else if (fault === 'forget-hold' && !program.call) {
			program.holds = [];
		} else if (fault === 'forget-open-call') {
			program.call = undefined;
		} else if (fault === 'ignore-deadline') {
			program.deadlineMs += 100_000;
		}
	}

	state.programs.commit();
};

/** Drops the record that a command has just appended. */
export const dropLastRecord = (
	state: ProgramsState,
	command: ProgramCommand,
): void => {
	const program =
		'programId' in command ? state.programs.edit(command.programId) : undefined;
	if (program) {
		program.records = program.records.slice(0, -RECORD_BYTES);
		state.programs.commit();
	}
};
