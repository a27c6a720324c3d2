import type {LastTurn} from '@marjoramcove/balancer';
import type {CallerExchange, RequestHead} from '@marjoramcove/ingress';
import type {Route} from '@marjoramcove/routes';
import type {UpstreamId} from '@marjoramcove/types';

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
};

/** How a request ended, for the log line. */
export type RequestOutcome = {
	status: number;
	/** Why this status was given; `served` for the answer of a server. */
	reason: string;
	serverId?: UpstreamId;
	attempts: number;
	firstByteMs?: number;
	events?: number;
};
