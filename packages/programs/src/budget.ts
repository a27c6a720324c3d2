import {assertInvariant} from '@marjoramcove/errors';
import type {Program} from './state.ts';

/** Tokens that are neither spent, reserved nor carved out. */
export const freeTokens = (program: Program): number =>
	program.tokenLimit -
	program.spentTokens -
	program.carvedTokens -
	(program.call?.reservedTokens ?? 0);

/** Turns that are neither spent (an accepted call has spent its turn) nor carved out. */
export const freeTurns = (program: Program): number =>
	program.turnLimit - program.spentTurns - program.carvedTurns;

/** Whether a value can be an amount of a budget: a whole number that is not negative. */
export const isAmount = (value: number): boolean =>
	Number.isSafeInteger(value) && value >= 0;

/** Asserts that the budget holds and that all amounts are valid. */
export const assertBudget = (program: Program, event: unknown): void => {
	const found = `program ${program.id} spent ${program.spentTokens} + carved ${program.carvedTokens} + reserved ${program.call?.reservedTokens ?? 0} of ${program.tokenLimit} tokens, ${program.spentTurns} + ${program.carvedTurns} of ${program.turnLimit} turns`;
	assertInvariant(
		isAmount(program.spentTokens) &&
			isAmount(program.carvedTokens) &&
			isAmount(program.spentTurns) &&
			isAmount(program.carvedTurns) &&
			isAmount(program.call?.reservedTokens ?? 0),
		'budget-amounts-valid',
		event,
		found,
	);
	assertInvariant(
		freeTokens(program) >= 0 && freeTurns(program) >= 0,
		'budget-not-exceeded',
		event,
		found,
	);
};
