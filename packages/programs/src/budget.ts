import {assertInvariant} from '@marjoramcove/errors';
import type {Program} from './state.ts';

/** Tokens that are neither spent, reserved nor allocated to sub-agents. */
export const freeTokens = (program: Program): number =>
	program.tokenLimit -
	program.spentTokens -
	program.childTokens -
	(program.call?.reservedTokens ?? 0);

/** Turns that are neither spent (an accepted call has spent its turn) nor allocated to sub-agents. */
export const freeTurns = (program: Program): number =>
	program.turnLimit - program.spentTurns - program.childTurns;

/** Whether a value is a valid budget amount: a non-negative safe integer. */
export const isAmount = (value: number): boolean =>
	Number.isSafeInteger(value) && value >= 0;

/** Asserts that the budget is not exceeded and that all amounts are valid. */
export const assertBudget = (program: Program, event: unknown): void => {
	const details = `program ${program.id}: ${program.spentTokens} tokens spent, ${program.childTokens} allocated to sub-agents and ${program.call?.reservedTokens ?? 0} reserved of ${program.tokenLimit}; ${program.spentTurns} turns spent and ${program.childTurns} allocated to sub-agents of ${program.turnLimit}`;
	assertInvariant(
		isAmount(program.spentTokens) &&
			isAmount(program.childTokens) &&
			isAmount(program.spentTurns) &&
			isAmount(program.childTurns) &&
			isAmount(program.call?.reservedTokens ?? 0),
		'budget-amounts-valid',
		event,
		details,
	);
	assertInvariant(
		freeTokens(program) >= 0 && freeTurns(program) >= 0,
		'budget-not-exceeded',
		event,
		details,
	);
};
