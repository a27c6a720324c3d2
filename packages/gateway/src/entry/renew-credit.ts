import type {GatewayContext} from '../gateway-context.ts';
import {refuseRequest} from './refuse-request.ts';
import type {RequestContext, RequestOutcome} from './request-context.ts';

/**
 * Takes credit anew for a request that is about to be sent, if it waited until its credit expired. Credit that
 * is used late would move requests of a team from one window into the next.
 *
 * @param options.attempts - servers that the request was sent to so far.
 * @param options.possibleRuns - those that may have run it; a further one for such a request needs no credit.
 * @returns the outcome if the request must not be sent: there is no credit, or its caller left.
 */
export const renewCredit = async (
	context: GatewayContext,
	request: RequestContext,
	{attempts, possibleRuns = 0}: {attempts: number; possibleRuns?: number},
): Promise<RequestOutcome | undefined> => {
	const {credit, exchange} = request;
	if (!credit || possibleRuns > 0) {
		return undefined;
	}

	const refusal = await credit.renew();
	if (exchange.isFinished) {
		// The listeners for a caller that leaves are only called for later ones.
		return {status: 499, reason: 'caller-left', attempts, isNotRun: true};
	}

	return refusal && refuseRequest(context, request, refusal, attempts);
};
