import type {ProgramId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {acceptCommand, openCommand, settleCommand} from './commands.fixture.ts';
import {historyEntries} from './queries.ts';
import {createProgramsState} from './state.ts';
import {stepPrograms} from './step-programs.ts';

describe('end-program', () => {
	describe('history', () => {
		it('keeps all entries of the ended program', () => {
			// Guards against a history that is lost when its program ends.
			let state = createProgramsState(0);
			for (const command of [
				openCommand({}),
				acceptCommand({}),
				settleCommand({}),
				{
					type: 'end-program' as const,
					nowMs: 2000,
					programId: 'p0-a' as ProgramId,
					reason: 'done',
				},
			]) {
				state = stepPrograms(state, command).state;
			}

			expect(
				historyEntries(state, 'p0-a' as ProgramId).map(({role}) => role),
			).toEqual(['user', 'assistant']);
		});
	});
});
