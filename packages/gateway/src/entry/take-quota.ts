import type {QuotaRequest} from '@marjoramcove/quotas';
import {hashText} from '@marjoramcove/types';
import type {GatewayContext} from '../gateway-context.ts';
import type {
	BorrowDecision,
	QuotaBorrowerService,
} from '../services/quota-borrower-service.ts';
import {type Refusal, refuseRequest} from './refuse-request.ts';
import type {RequestContext, RequestOutcome} from './request-context.ts';

/** Share of its remaining time for which a request waits for an owner; later refusals leave no time for a retry. */
const MAX_WAIT_SHARE = 0.25;

/** Retry delay without an owner; an election takes 0.45 to 0.9 s. */
const NO_OWNER_RETRY_MS = 200;

/** Least retry delay over the quota, because the answer of the owner takes some milliseconds. */
const MIN_RETRY_MS = 10;

const toRefusal = (
	decision: Exclude<BorrowDecision, {type: 'granted'}>,
): Refusal =>
	decision.type === 'over-quota'
		? {
				status: 429,
				reason:
					decision.requestClass === 'first-turn' ? 'quota-first-turn' : 'quota',
				message: 'The team is over its quota. The request has not run.',
				retryAfterMs: Math.max(MIN_RETRY_MS, Math.ceil(decision.retryAfterMs)),
			}
		: {
				status: 503,
				reason: 'quota-owner-unknown',
				message:
					'No daemon could tell whether the team is inside its quota. The request has not run.',
				retryAfterMs: NO_OWNER_RETRY_MS,
			};

const createQuotaRequest = (
	{head, route}: RequestContext,
	teamId: QuotaRequest['teamId'],
): QuotaRequest => {
	const {programId, previousTurnId} = head;
	return {
		teamId,
		programHash:
			programId === undefined ? undefined : hashText(`${teamId}/${programId}`),
		mayBeFirstTurn: route.kind === 'stream' && previousTurnId === undefined,
	};
};

/** Monotonic time until which a request waits for an owner. */
const waitDeadlineMs = ({deadlineMs}: RequestContext, nowMs: number): number =>
	nowMs + (deadlineMs - nowMs) * MAX_WAIT_SHARE;

/** The credit that a request holds; there is at most one at a time. */
class HeldCredit {
	readonly #quotas: QuotaBorrowerService;
	readonly #request: RequestContext;
	readonly #teamId: QuotaRequest['teamId'];
	#ticket: number | undefined;

	constructor(
		quotas: QuotaBorrowerService,
		request: RequestContext,
		teamId: QuotaRequest['teamId'],
	) {
		this.#quotas = quotas;
		this.#request = request;
		this.#teamId = teamId;
	}

	/** Takes credit if none is held or the held one expired; a request that could not wait is refused. */
	async renew(): Promise<Refusal | undefined> {
		if (this.#ticket !== undefined && this.#quotas.isCurrent(this.#ticket)) {
			return undefined;
		}

		this.finish(false);
		const decision = await this.#quotas.take(
			createQuotaRequest(this.#request, this.#teamId),
			{
				deadlineMs: waitDeadlineMs(this.#request, performance.now()),
				onTicket: (ticket) => {
					this.#ticket = ticket;
				},
			},
		);
		return decision.type === 'granted' ? undefined : toRefusal(decision);
	}

	/** Gives the credit back unless the request has run, and ends a wait for credit. */
	finish(hasRun: boolean): void {
		if (this.#ticket !== undefined) {
			const ticket = this.#ticket;
			this.#ticket = undefined;
			this.#quotas.finish(ticket, hasRun);
		}
	}
}

const forwardOnCredit = async (
	context: GatewayContext,
	request: RequestContext,
	{
		credit,
		forward,
	}: {
		credit: HeldCredit;
		forward: (request: RequestContext) => Promise<RequestOutcome>;
	},
): Promise<RequestOutcome> => {
	const removeListener = request.exchange.onDisconnect(() => {
		credit.finish(false);
	});
	const refusal = await credit.renew();
	removeListener();
	if (request.exchange.isFinished) {
		return {status: 499, reason: 'caller-left', attempts: 0, isNotRun: true};
	}

	return refusal
		? refuseRequest(context, request, refusal)
		: forward({
				...request,
				credit: {
					renew: async () => credit.renew(),
				},
			});
};

/**
 * Forwards a request whose team has a quota once it holds credit, or refuses it, and gives the credit back if
 * the request did not run.
 *
 * The load that it answers: teams that send more than their quota through all entry daemons together.
 *
 * @example
 * ```ts
 * const outcome = await forwardWithinQuota(context, request, async (admitted) => forward(admitted));
 * ```
 */
export const forwardWithinQuota = async (
	context: GatewayContext,
	request: RequestContext,
	forward: (request: RequestContext) => Promise<RequestOutcome>,
): Promise<RequestOutcome> => {
	const {quotas} = context;
	const {teamId} = request;
	if (!quotas || teamId === undefined || !quotas.hasLimit(teamId)) {
		return forward(request);
	}

	const credit = new HeldCredit(quotas, request, teamId);
	let hasRun = true;
	try {
		const outcome = await forwardOnCredit(context, request, {credit, forward});
		hasRun = outcome.isNotRun !== true;
		return outcome;
	} finally {
		credit.finish(hasRun);
	}
};
