import type {CallerId} from '@marjoramcove/types';
import type {CreditGrant, RequestClass} from './quota-messages.ts';

/** A request as far as its quota is concerned. */
export type QuotaRequest = {
	teamId: CallerId;
	/** Absent for requests that belong to no program. */
	programHash?: number;
	/** Whether it may start a program: a turn without a previous one. */
	mayBeFirstTurn: boolean;
};

export type QuotaDecision =
	| {type: 'granted'}
	| {type: 'over-quota'; requestClass: RequestClass; retryAfterMs: number};

/** The decision for a request that had to wait. */
export type SettledTicket = {ticket: number; decision: QuotaDecision};

/** Refuses a waiting request; each further one of its class waits a step longer. */
export const refuse = (
	{retryAfterMs, retryStepMs}: CreditGrant,
	requestClass: RequestClass,
	position: number,
): QuotaDecision => ({
	type: 'over-quota',
	requestClass,
	retryAfterMs:
		(retryAfterMs[requestClass] ?? 0) +
		position * (retryStepMs[requestClass] ?? 0),
});
