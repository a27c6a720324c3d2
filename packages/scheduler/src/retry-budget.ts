import type {CallerId} from '@marjoramcove/types';

/**
 * Limits the share of retries among the requests of a team at a service. The load that it answers: servers
 * that refuse or fail many requests, whose retries would add to the overload.
 */
export type RetryBudgets = {credits: Map<CallerId, number>};

/** Retries that each first attempt allows. */
const RETRIES_PER_REQUEST = 0.2;

/** Credit of a team that has sent nothing yet; also the most that a team can collect. */
const MAX_RETRY_CREDIT = 10;

/** Number of teams above which the one that retried first is forgotten. */
const PRUNE_ABOVE_TEAMS = 256;

/**
 * Creates budgets without any use.
 *
 * @example
 * ```ts
 * const budgets = createRetryBudgets();
 * ```
 */
export const createRetryBudgets = (): RetryBudgets => ({credits: new Map()});

/**
 * Adds the credit of a request that is no retry.
 *
 * @example
 * ```ts
 * recordFirstAttempt(budgets, teamId);
 * ```
 */
export const recordFirstAttempt = (
	{credits}: RetryBudgets,
	callerId: CallerId,
): void => {
	const credit = credits.get(callerId);
	if (credit === undefined) {
		return;
	}

	// A team without an entry has the full credit.
	if (credit + RETRIES_PER_REQUEST >= MAX_RETRY_CREDIT) {
		credits.delete(callerId);
	} else {
		credits.set(callerId, credit + RETRIES_PER_REQUEST);
	}
};

/**
 * Takes the credit for a retry.
 *
 * @returns whether there was one.
 * @example
 * ```ts
 * if (!takeRetry(budgets, teamId)) {
 * 	refuse();
 * }
 * ```
 */
export const takeRetry = (
	{credits}: RetryBudgets,
	callerId: CallerId,
): boolean => {
	const credit = credits.get(callerId) ?? MAX_RETRY_CREDIT;
	if (credit < 1) {
		return false;
	}

	credits.set(callerId, credit - 1);
	if (credits.size > PRUNE_ABOVE_TEAMS) {
		const [oldest] = credits.keys();
		credits.delete(oldest!);
	}

	return true;
};
