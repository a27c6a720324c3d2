import type {AccessDecision, AccessRefusalReason} from '@marjoramcove/access';
import type {
	CallerIdentity,
	RequestHead,
	UpstreamFailure,
} from '@marjoramcove/ingress';
import type {Route} from '@marjoramcove/routes';
import type {GatewayContext} from '../gateway-context.ts';
import type {Refusal} from './refuse-request.ts';
import type {RequestContext} from './request-context.ts';

/**
 * Retry delay for callers of a daemon that cannot tell whether a key is valid. Confirmations arrive several
 * times a second, and other daemons may have one.
 */
const UNCONFIRMED_RETRY_MS = 300;

const toRefusal = (reason: AccessRefusalReason): Refusal =>
	reason === 'configuration-not-confirmed'
		? {
				status: 503,
				reason,
				message:
					'This daemon cannot tell now whether the key is valid. The request has not run.',
				retryAfterMs: UNCONFIRMED_RETRY_MS,
			}
		: {
				status: 401,
				reason,
				message:
					reason === 'key-missing'
						? 'The request has no key. It has not run.'
						: 'The key is not known. The request has not run.',
			};

/** Decides about a request that arrives: its team, or the refusal. */
export const admitCaller = (
	{accessGate}: GatewayContext,
	head: RequestHead,
	route: Route,
): Extract<AccessDecision, {type: 'granted'}> | Refusal => {
	const decision = accessGate.decide(head, route);
	return decision.type === 'granted' ? decision : toRefusal(decision.reason);
};

const recheck = (
	{accessGate}: GatewayContext,
	request: RequestContext,
): Refusal | undefined => {
	const reason = accessGate.recheck(request);
	return reason && toRefusal(reason);
};

/** Decides again about a request before an attempt; returns the refusal if it must not be sent. */
export const checkAccess = async (
	context: GatewayContext,
	request: RequestContext,
): Promise<Refusal | undefined> => {
	await context.accessGate.waitUntilSure();
	return recheck(context, request);
};

/**
 * Decides again at the last moment, when a connection to the server is available: the request may have waited
 * for it.
 *
 * @param identity - what the headers of the attempt state about the caller.
 * @returns the failure of the attempt if the request must not be sent.
 */
export const checkAccessBeforeWrite = (
	context: GatewayContext,
	request: RequestContext,
	identity: CallerIdentity | undefined,
): UpstreamFailure | undefined => {
	const isOutdated = context.accessGate.hasTeams !== (identity !== undefined);
	const refusal = isOutdated
		? toRefusal('configuration-not-confirmed')
		: recheck(context, request);
	return (
		refusal && {
			verdict: 'not-run',
			code: refusal.reason,
			message: refusal.message,
		}
	);
};
