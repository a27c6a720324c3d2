import type {LastTurn} from '@marjoramcove/balancer';
import type {CallerExchange, RequestHead} from '@marjoramcove/ingress';
import type {Route} from '@marjoramcove/routes';
import type {UpstreamId} from '@marjoramcove/types';

/** How long after its receipt a request reached each stage, in milliseconds; a stage not reached is absent. */
export type RequestProgress = {
	/** The budget is reserved and what was said before is read; only of a turn. */
	preparedMs?: number;
	/** It is being written to the last server that it was offered to. */
	sentMs?: number;
	/** The first piece of the answer came. */
	firstByteMs?: number;
	/** What was said is recorded; only of a turn whose text is kept. */
	settledMs?: number;
};

/** A request with everything that was decided about it so far. */
export type RequestContext = {
	exchange: CallerExchange;
	head: RequestHead;
	route: Route;
	/** Service that the weights of the route chose. */
	service: string;
	body: Uint8Array;
	/** Time by the monotonic clock at which the answer must be complete. */
	deadlineMs: number;
	/** Where the program's last turn ran, when it is known. */
	last?: LastTurn;
	/** Version of the routing document that decided. */
	documentVersion: number;
	progress: RequestProgress;
};

/**
 * Tells how long after its receipt a request is now.
 *
 * @example
 * ```ts
 * request.progress.sentMs = sinceReceipt(request);
 * ```
 */
export const sinceReceipt = ({exchange}: RequestContext): number =>
	performance.now() - exchange.receivedAtMs;

/** How a request ended, for the log line. */
export type RequestOutcome = {
	status: number;
	/** Why this status was given; `served` for the answer of a server. */
	reason: string;
	serverId?: UpstreamId;
	attempts: number;
	events?: number;
};
