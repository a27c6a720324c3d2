/** How a stand-in engine behaves; all speeds apply to real time. */
export type EngineOptions = {
	models: string[];
	/** Prompt tokens computed per second, shared by all calls in the batch. */
	prefillTokensPerSecond: number;
	/** Tokens generated per second for each call in the batch. */
	decodeTokensPerSecond: number;
	/** Calls that are batched; later calls wait, first come, first served. */
	slots: number;
	/** Memory for cached and held prefixes. */
	kvCapacityTokens: number;
	/** Length of an answer when the prompt does not ask for one with `[tokens=N]`. */
	defaultAnswerTokens: number;
	/** Whether answers may be longer than `max_tokens`. */
	ignoreMaxTokens: boolean;
	/** Answers depend on the salt; engines with the same salt give the same answers. */
	salt: string;
	/** Whether orders with an old fencing number are refused. */
	checksFencing: boolean;
	/** Fault: old orders are executed although `checksFencing` says otherwise. */
	executesOldOrders: boolean;
	/** Age of the load report. */
	loadLagMs: number;
	/** Time after which a cache event becomes visible. */
	cacheEventLagMs: number;
	/** Each n-th cache event is never shown; 0 shows all. */
	dropEveryNthCacheEvent: number;
	/** Number of later `DELETE /v1/kv` requests that are answered without any effect. */
	loseReleases: number;
	/** Number of later `POST /v1/kv/import` requests that are refused. */
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

/** A fault that applies to the next model calls of an engine. */
export type EngineFault =
	/** After this many bytes of the response the connection stays open but silent; the call runs on. */
	| {kind: 'silent-after'; bytes: number}
	/** After this many bytes of the response the engine dies and loses its memory. */
	| {kind: 'die-after'; bytes: number}
	/** After this many bytes of the response the connection is reset; the call runs on. */
	| {kind: 'reset-after'; bytes: number}
	/** The response starts late. */
	| {kind: 'delay'; delayMs: number}
	/** After this many bytes of the response a line that is not JSON is sent. */
	| {kind: 'malformed-after'; bytes: number};
