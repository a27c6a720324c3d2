import {setTimeout as sleep} from 'node:timers/promises';
import type {ServerLoad} from '@marjoramcove/balancer';
import type {UpstreamId} from '@marjoramcove/types';
import type {Refusal} from './refuse-request.ts';
import type {RequestContext} from './request-context.ts';
import type {Upstreams} from './upstreams.ts';

/** Share of the time left that a request may wait for the rate limits of the servers. */
const MAX_WAIT_SHARE = 0.25;

/** Retry delay when this daemon has no share in the rates of the servers, so that others serve the retry. */
const NO_SHARE_RETRY_MS = 100;

/** The chosen server, or the reason why there is none. */
export type ServerChoice =
	| {type: 'chosen'; load: ServerLoad}
	| {type: 'none'}
	/** The caller left while the request waited. */
	| {type: 'left'}
	| {type: 'rate-limited' | 'not-admitted'; refusal: Refusal};

/**
 * Chooses a server for a request once the queue of its service admits it, see {@link ServiceQueues}. A request
 * without a server leaves the service at once.
 *
 * @example
 * ```ts
 * const choice = await chooseWhenAdmitted(request, upstreams, new Set());
 * ```
 */
export const chooseWhenAdmitted = async (
	request: RequestContext,
	upstreams: Upstreams,
	excludedIds: ReadonlySet<UpstreamId>,
): Promise<ServerChoice> => {
	const {queues} = upstreams;
	if (!queues) {
		return chooseWhenPermitted(request, upstreams, excludedIds);
	}

	const admission = await queues.enter(request, {
		isRetry: excludedIds.size > 0,
	});
	if (admission.type === 'refused') {
		return {type: 'not-admitted', refusal: admission.refusal};
	}

	if (admission.type === 'left') {
		return admission;
	}

	const choice = await chooseWhenPermitted(request, upstreams, excludedIds);
	if (choice.type !== 'chosen' || performance.now() >= request.deadlineMs) {
		queues.abandon(request.exchange);
	}

	return choice;
};

/**
 * Chooses a server for a request, and waits for the stated rate of a server if only that prevents it from
 * being sent. A request that could not be sent within a part of its time is refused at once.
 *
 * The load that it answers: all servers of a service state a limit at the same time.
 *
 * @example
 * ```ts
 * const choice = await chooseWhenPermitted(request, upstreams, new Set());
 * ```
 */
export const chooseWhenPermitted = async (
	request: RequestContext,
	upstreams: Upstreams,
	excludedIds: ReadonlySet<UpstreamId>,
): Promise<ServerChoice> => {
	const startedAtMs = performance.now();
	const latestMs =
		startedAtMs + (request.deadlineMs - startedAtMs) * MAX_WAIT_SHARE;
	for (;;) {
		const nowMs = performance.now();
		const load = upstreams.choose(request, excludedIds, nowMs);
		if (load) {
			return {type: 'chosen', load};
		}

		const permitAtMs = upstreams.nextPermitAtMs(request, excludedIds, nowMs);
		if (
			permitAtMs === undefined ||
			permitAtMs <= nowMs ||
			request.exchange.isFinished
		) {
			return {type: 'none'};
		}

		if (permitAtMs > latestMs) {
			return {
				type: 'rate-limited',
				refusal: {
					status: 503,
					reason: 'server-rate-limit',
					message:
						'The servers accept no more requests per second now. It has not run.',
					retryAfterMs: Number.isFinite(permitAtMs)
						? Math.ceil(permitAtMs - nowMs)
						: NO_SHARE_RETRY_MS,
				},
			};
		}

		await sleep(Math.ceil(permitAtMs - nowMs));
	}
};
