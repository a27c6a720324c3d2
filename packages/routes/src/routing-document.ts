/**
 * What may be repeated: an `idempotent` request may run more than once, a `non-idempotent` one at
 * most once for each attempt of the caller. A `stream` is an answer made of events; it may run once.
 */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'stream';

/** One of the services that share the requests of a route. */
export type WeightedService = {service: string; weight: number};

/** How requests with one host and path prefix are handled. */
export type Route = {
	name: string;
	/** Compared without regard to case. */
	host: string;
	/** Begins and ends with a slash. */
	pathPrefix: string;
	kind: RequestKind;
	/** At least one with a positive weight. */
	services: WeightedService[];
	/** Longest time for which a caller is kept waiting. */
	timeoutMs: number;
	/** Time within which an answer, or the first event of a stream, is useful to the caller. */
	targetLatencyMs: number;
	/** Longest useful pause between two events of a stream. */
	targetGapMs: number;
	/** 0 is the most urgent. */
	priority: number;
	/** Servers on which one attempt of the caller may run. */
	maxAttempts: number;
	/** A broken stream may be continued at another server from its last event. */
	isResumable: boolean;
	/** Requests carry a prompt whose parts servers cache. */
	hasPrompt: boolean;
	/** The system keeps what was said and puts it before the next turn of the program. */
	keepsTurns: boolean;
	/** Time for which turns and budgets are kept after their last use. */
	retentionMs: number;
};

/** Properties of the model engines of a service. */
export type EngineDefinition = {
	/** Requests that an engine batches. */
	slots: number;
	/** Tokens that the memory of an engine holds. */
	capacityTokens: number;
	/** Generated tokens in each event of a stream. */
	tokensPerEvent: number;
};

/** A group of servers that are interchangeable. */
export type ServiceDefinition = {
	name: string;
	/** Path of the health check. */
	healthPath: string;
	/** Connections that a server takes from all daemons together. */
	maxConnections: number;
	/** Absent for plain services. */
	engine?: EngineDefinition;
};

/** Bounds of what a caller may send and how long it may take. */
export type CallerLimits = {
	headerSizeBytes: number;
	bodySizeBytes: number;
	headerTimeoutMs: number;
	idleTimeoutMs: number;
};

/** A whole configuration under the version number of its operator. */
export type RoutingDocument = {
	version: number;
	routes: Route[];
	services: ServiceDefinition[];
	limits: CallerLimits;
};
