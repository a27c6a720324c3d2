import {InvariantViolationError} from '@marjoramcove/errors';
import {asId, type ProgramId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {acceptCommand, openCommand} from './commands.fixture.ts';
import {createProgramsState, stepPrograms} from './index.ts';
import type {Program, ProgramsState} from './state.ts';

/** Each damage stands for a fault in a later change of the machine. */
const damages: Array<[string, (program: Program) => void]> = [
	[
		'budget-not-exceeded',
		(program) => {
			program.spentTokens = 950;
		},
	],
	[
		'budget-amounts-valid',
		(program) => {
			program.carvedTokens = -1;
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

const createDamaged = (damage: (program: Program) => void): ProgramsState => {
	let {state} = stepPrograms(createProgramsState(0), openCommand({}));
	({state} = stepPrograms(state, acceptCommand({})));
	damage(state.programs.edit(asId<ProgramId>('p0-a'))!);
	return state;
};

describe('assertProgram', () => {
	it.each(damages)(
		'stops on %s (failure: a fault of the machine goes unnoticed)',
		(invariant, damage) => {
			const state = createDamaged(damage);
			let caught: unknown;
			try {
				stepPrograms(state, acceptCommand({}));
			} catch (error) {
				caught = error;
			}

			expect(caught).toBeInstanceOf(InvariantViolationError);
			expect((caught as InvariantViolationError).invariant).toBe(invariant);
		},
	);
});
