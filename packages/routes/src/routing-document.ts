import type {CallerId, KeyDigest} from '@marjoramcove/types';

/**
 * Retry semantics of a request: an `idempotent` request may run more than once, a `non-idempotent` one at
 * most once per attempt of the caller. A `stream` request is answered with an event stream and may run
 * once.
 */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A service of a route and its share of the route's requests. */
export type WeightedService = {service: string; weight: number};

/** How requests with one host and path prefix are handled. */
export type Route = {
	name: string;
	/** Compared case-insensitively. */
	host: string;
	/** Begins and ends with a slash. */
	pathPrefix: string;
	kind: RequestKind;
	/** At least one has a positive weight. */
	services: WeightedService[];
	/** Maximum time for which a caller waits for a response. */
	timeoutMs: number;
	/** Time within which a response, or the first event of a stream, is useful to the caller. */
	targetLatencyMs: number;
	/** Longest gap between two events of a stream that is still useful to the caller. */
	targetGapMs: number;
	/** 0 is the highest priority. */
	priority: number;
	/** Maximum number of servers that may run one attempt of the caller. */
	maxAttempts: number;
	/** Whether an interrupted stream may be resumed on another server after its last event. */
	isResumable: boolean;
	/**
	 * Whether a server is faster at what it has handled recently: prompts that share parts, or requests with
	 * the same affinity key.
	 */
	hasAffinity: boolean;
	/** Whether the conversation is stored and prepended to the next turn of the program. */
	keepsTurns: boolean;
	/** Time for which turns and budgets are retained after their last use. */
	retentionMs: number;
	/** Whether callers need no key, although the document has teams. */
	isPublic: boolean;
};

/** A team of callers with its keys and its quota over all daemons together. */
export type Team = {
	/** Name of the team, which servers are told. */
	id: CallerId;
	keyDigests: KeyDigest[];
	/** Takes precedence over the priority of a route; 0 is the highest. */
	priority?: number;
	/** Requests per second that the team may send; absent if it has no limit. */
	requestsPerSecond?: number;
	/** Requests that the team may send at once beyond its rate. */
	burstRequests: number;
};

/** Properties of the model engines of a service. */
export type EngineDefinition = {
	/** Maximum number of requests in a batch. */
	slots: number;
	/** Number of tokens that fit into the memory of an engine. */
	capacityTokens: number;
	/** Number of generated tokens per event of a stream. */
	tokensPerEvent: number;
};

/** A group of interchangeable servers. */
export type ServiceDefinition = {
	name: string;
	/** Path of the health check. */
	healthPath: string;
	/** Maximum number of connections that a server accepts from all daemons together. */
	maxConnections: number;
	/** Absent for plain services. */
	engine?: EngineDefinition;
};

/** Size and time limits for the requests of callers. */
export type CallerLimits = {
	headerSizeBytes: number;
	bodySizeBytes: number;
	headerTimeoutMs: number;
	idleTimeoutMs: number;
};

/** A complete routing configuration with the version number that the operator assigned. */
export type RoutingDocument = {
	version: number;
	routes: Route[];
	services: ServiceDefinition[];
	/** Absent if callers need no key; an empty list admits callers on public routes only. */
	teams?: Team[];
	limits: CallerLimits;
};
