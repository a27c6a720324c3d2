import type {LastTurn} from '@marjoramcove/balancer';
import type {
	CallerExchange,
	RequestBody,
	RequestHead,
	ResponseFraming,
} from '@marjoramcove/ingress';
import type {Route} from '@marjoramcove/routes';
import type {CallerId, KeyDigest, UpstreamId} from '@marjoramcove/types';
import type {Refusal} from './refuse-request.ts';

/** Credit that a request took of the quota of its team. */
export type RequestCredit = {
	/**
	 * Takes credit anew if the request waited until its credit expired; returns the refusal if there is none.
	 * Called before each attempt that could be the first to run.
	 */
	renew: () => Promise<Refusal | undefined>;
};

/** Time in milliseconds from receipt of a request to each stage; absent for stages that it did not reach. */
export type RequestProgress = {
	/** The budget was reserved and the previous turns were read; only present for turns. */
	preparedMs?: number;
	/** Writing to the last attempted server started. */
	sentMs?: number;
	/** The first chunk of the response arrived. */
	firstByteMs?: number;
	/** The turn was recorded; only present for turns whose text is kept. */
	settledMs?: number;
};

/** What arrived of the response of the last attempted server; empty until its head has arrived. */
export type ReceivedResponse = {
	framing?: ResponseFraming;
	bodySizeBytes?: number;
	/** Number of complete events; absent for a response that is not streamed. */
	events?: number;
};

/** A request with the routing decisions made so far. */
export type RequestContext = {
	exchange: CallerExchange;
	head: RequestHead;
	route: Route;
	/** Service selected by the weights of the route. */
	service: string;
	/** Input of the caller. */
	body: Uint8Array;
	/** What is sent to the server instead of the input, if that differs. */
	sentBody?: RequestBody;
	/** Monotonic time by which the response must be complete. */
	deadlineMs: number;
	/** Server and context size of the program's previous turn, if known. */
	last?: LastTurn;
	/** Team that holds the caller's key; absent if callers need no key or the route is public. */
	teamId?: CallerId;
	/** Key of the caller, to be checked again before each attempt is sent. */
	keyDigest?: KeyDigest;
	/** Priority of the team if it has one, otherwise of the route; 0 is the highest. */
	priority: number;
	/** Credit of the team for this request; absent if the team has no quota. */
	credit?: RequestCredit;
	/** Version of the routing document that was applied. */
	documentVersion: number;
	progress: RequestProgress;
	received: ReceivedResponse;
};

/**
 * Returns the time since a request was received, in milliseconds.
 *
 * @example
 * ```ts
 * request.progress.sentMs = elapsedSinceReceiptMs(request);
 * ```
 */
export const elapsedSinceReceiptMs = ({exchange}: RequestContext): number =>
	performance.now() - exchange.receivedAtMs;

/** Outcome of a request, for the log line. */
export type RequestOutcome = {
	status: number;
	/** Reason code of the status; `served` for the response of a server. */
	reason: string;
	serverId?: UpstreamId;
	attempts: number;
	/** Whether no server ran the request; only stated for requests that got no response of a server. */
	isNotRun?: boolean;
};
