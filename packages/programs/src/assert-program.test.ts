import {InvariantViolationError} from '@marjoramcove/errors';
import {asId, type ProgramId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {acceptCommand, openCommand} from './commands.fixture.ts';
import {createProgramsState, stepPrograms} from './index.ts';
import type {Program, ProgramsState} from './state.ts';

/** Corruptions that a future defect of the state machine could cause, by the invariant that each violates. */
const corruptions: Array<[string, (program: Program) => void]> = [
	[
		'budget-not-exceeded',
		(program) => {
			program.spentTokens = 950;
		},
	],
	[
		'budget-amounts-valid',
		(program) => {
			program.childTokens = -1;
		},
	],
	[
		'ended-program-has-no-open-call',
		(program) => {
			program.endedReason = 'ended';
		},
	],
	[
		'open-call-has-last-turn',
		(program) => {
			program.nextTurn = 1;
		},
	],
	[
		'hold-recorded-before-use',
		(program) => {
			program.holds = [];
		},
	],
	[
		'timeout-within-wall-time',
		(program) => {
			program.call!.timeoutMs = 1e9;
		},
	],
	[
		'every-turn-has-a-record',
		(program) => {
			program.nextTurn = 4;
			program.call!.turn = 3;
		},
	],
];

const createCorruptedState = (
	corrupt: (program: Program) => void,
): ProgramsState => {
	let {state} = stepPrograms(createProgramsState(0), openCommand({}));
	({state} = stepPrograms(state, acceptCommand({})));
	corrupt(state.programs.edit(asId<ProgramId>('p0-a'))!);
	return state;
};

describe('assertProgram', () => {
	it.each(corruptions)('throws on a violation of %s', (invariant, corrupt) => {
		// Guards against defects of the state machine that go undetected.
		const state = createCorruptedState(corrupt);
		let caught: unknown;
		try {
			stepPrograms(state, acceptCommand({}));
		} catch (error) {
			caught = error;
		}

		expect(caught).toBeInstanceOf(InvariantViolationError);
		expect((caught as InvariantViolationError).invariant).toBe(invariant);
	});
});
