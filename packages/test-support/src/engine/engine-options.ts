/** Behaviour of a fake engine; all rates are in real time. */
export type EngineOptions = {
	models: string[];
	/** Prefill rate, shared by all calls in the batch. */
	prefillTokensPerSecond: number;
	/** Decode rate of each call in the batch. */
	decodeTokensPerSecond: number;
	/** Maximum number of calls in the batch; further calls wait in FIFO order. */
	slots: number;
	/** Capacity of the prefix cache. */
	kvCapacityTokens: number;
	/** Length of an answer when the prompt does not request a length with `[tokens=N]`. */
	defaultAnswerTokens: number;
	/** Whether answers may exceed `max_tokens`. */
	ignoreMaxTokens: boolean;
	/** Seed of the generated text; engines with the same salt give the same answers. */
	salt: string;
	/** Whether orders with an outdated fencing number are refused. */
	checksFencing: boolean;
	/** Fault: outdated orders are executed even with `checksFencing`. */
	executesOldOrders: boolean;
	/** Delay of the reported load. */
	loadLagMs: number;
	/** Delay until a cache event becomes visible. */
	cacheEventLagMs: number;
	/** Every n-th cache event is omitted; 0 omits none. */
	dropEveryNthCacheEvent: number;
	/** Number of next `DELETE /v1/kv` requests that have no effect; their connection is closed without a response. */
	loseReleases: number;
	/** Number of next `POST /v1/kv/import` requests that are refused. */
	failImports: number;
	version: string;
	adapters: string[];
	role: string;
};

export const defaultEngineOptions: EngineOptions = {
	models: ['agent-large'],
	prefillTokensPerSecond: 50_000,
	decodeTokensPerSecond: 400,
	slots: 8,
	kvCapacityTokens: 200_000,
	defaultAnswerTokens: 16,
	ignoreMaxTokens: false,
	salt: '',
	checksFencing: true,
	executesOldOrders: false,
	loadLagMs: 500,
	cacheEventLagMs: 300,
	dropEveryNthCacheEvent: 0,
	loseReleases: 0,
	failImports: 0,
	version: '1',
	adapters: [],
	role: 'mixed',
};

/** A fault that applies to one model call of an engine. */
export type EngineFault =
	/** After this many response bytes nothing more is sent; the connection stays open and the call continues. */
	| {kind: 'silent-after'; bytes: number}
	/** After this many response bytes the engine crashes and loses its memory. */
	| {kind: 'die-after'; bytes: number}
	/** After this many response bytes the connection is reset; the call continues. */
	| {kind: 'reset-after'; bytes: number}
	/** The response is delayed. */
	| {kind: 'delay'; delayMs: number}
	/** After this many response bytes an event that is not valid JSON is sent. */
	| {kind: 'malformed-after'; bytes: number};
