import type {CallerExchange, RequestHead} from '@marjoramcove/ingress';
import type {GatewayContext} from '../gateway-context.ts';
import type {RequestOutcome} from './request-context.ts';

/** Refusals after which the same caller may come back with the same request. */
const RETRYABLE_STATUSES = new Set([429, 503]);

/** Time after which a refused request is worth another attempt, when nothing else is known. */
export const DEFAULT_RETRY_AFTER_MS = 100;

/** What a refusal tells the caller. */
export type Refusal = {
	status: number;
	/** Kebab-case code, also the label of the counter. */
	reason: string;
	message: string;
	retryAfterMs?: number;
};

/** Answers a request with an error of our own and returns its outcome. */
export const refuse = (
	context: GatewayContext,
	{exchange, head}: {exchange: CallerExchange; head: RequestHead},
	refusal: Refusal,
	attempts = 0,
): RequestOutcome => {
	const {status, reason, message} = refusal;
	const retryAfterMs = RETRYABLE_STATUSES.has(status)
		? (refusal.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS)
		: undefined;
	const headers = context.adapter.heads.encodeOwnAnswer({
		requestId: head.requestId,
		retryAfterMs,
	});
	const verdict = status >= 500 && status !== 503 ? 'may-have-run' : 'not-run';
	const body = JSON.stringify({error: {message, reason, verdict}});
	context.refusals.increment({reason, status: String(status)});
	if (exchange.isStarted) {
		exchange.breakOff();
	} else {
		exchange.answer(
			status,
			[...headers, ['Content-Type', 'application/json']],
			Buffer.from(body),
		);
	}

	return {status, reason, attempts};
};
