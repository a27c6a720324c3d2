import type {
	CallerId,
	ProgramId,
	UpstreamId,
	ZoneName,
} from '@marjoramcove/types';

/** Weights of the two measures; both settings of one policy. */
export type PolicySettings = {
	latencyWeight: number;
	cacheWeight: number;
	/** Overrides of the tuning defaults; see {@link PolicyTuning}. */
	tuning?: Partial<PolicyTuning>;
};

/** What the scheduler knows of one call that waits for an engine. */
export type QueuedCall = {
	programId: ProgramId;
	callerId: CallerId;
	requestId: string;
	/** Virtual or monotonic time at which the call was queued. */
	queuedAtMs: number;
	/** Time by which the whole program should have finished, if the caller stated one. */
	deadlineMs?: number;
	/** Service that the program has attained so far, in tokens. */
	attainedTokens: number;
	promptTokens: number;
	/** Estimate of the prompt tokens that are cached on this engine. */
	cachedTokens: number;
	expectedCompletionTokens: number;
	turn: number;
	priority: number;
	/** Time at which the program was admitted; the queueing time when absent. */
	programStartedAtMs?: number;
	/** Service that the caller attained on this engine, as kept by `recordService`, in work milliseconds. */
	callerServiceMs?: number;
};

/** What a process knows of one engine: its own records first, corrected by lagging reports. */
export type EngineView = {
	upstreamId: UpstreamId;
	zone: ZoneName;
	slots: number;
	inFlight: number;
	queued: number;
	/** Prompt tokens to compute and completion tokens to generate for what is queued and in flight. */
	outstandingTokens: number;
	/** Estimate of the prompt tokens cached on this engine for the program at hand. */
	cachedTokens: number;
	cacheCapacityTokens: number;
	/** Observed speed relative to the fleet's median; routing counts all speeds from 0.1 on as normal. */
	relativeSpeed: number;
	leaving: boolean;
	healthy: boolean;
	/** Part of `outstandingTokens` that is still to be generated; a fixed share is assumed when absent. */
	outstandingCompletionTokens?: number;
	/** Tokens of programs that are in the cache of this engine and expected to be used again. */
	cacheUsedTokens?: number;
};

export type RoutingRequest = {
	programId: ProgramId;
	promptTokens: number;
	expectedCompletionTokens: number;
	zone: ZoneName;
	/** Engine that served the previous turn of the program. */
	previousUpstreamId?: UpstreamId;
	deadlineMs?: number;
	/** Number of turns that the program has finished. */
	turn?: number;
};

/** What to do with cached memory over a pause of a program. */
export type RetentionDecision = 'keep' | 'export' | 'drop';

/** Constants of the policy; times in milliseconds of one engine at normal speed. */
export type PolicyTuning = {
	/** Engine time to compute one prompt token. */
	prefillMsPerToken: number;
	/** Engine time to generate one token in a full batch (step time divided by batch size). */
	decodeMsPerToken: number;
	/** Time between two tokens of one call in a full batch. */
	stepMs: number;
	/** Delay added for an engine in another zone. */
	zoneDelayMs: number;
	/** Number of engines that `sampleViews` adds to the program's previous engine. */
	sampledEngines: number;
	/** Waiting time after which a call goes before all that have not waited so long. */
	starvationMs: number;
	/** Lead in service that a caller may have over the least served waiting caller of an engine. */
	fairnessSlackMs: number;
	/** Expected queueing time above which new programs are refused. */
	admissionWaitMs: number;
	/** Expected queueing time above which calls of running programs are refused too. */
	overloadWaitMs: number;
	/** Share of the cache above which new programs are refused. */
	admissionCacheShare: number;
	/** Time to move one token of cache between the engine and host memory. */
	transferMsPerToken: number;
	/** Age from which a load report is not used. */
	staleReportMs: number;
	/** Share of the cache that calls in flight may take; the rest holds the prefixes of paused programs. */
	runningCacheShare: number;
	/** Share of the cache up to which pauses of any length keep their cache. */
	retentionCacheShare: number;
};

/** What a shard owner knows of the load of the engines that a program may use. */
export type FleetLoad = {
	/** Engines that take work. */
	engines: number;
	slots: number;
	inFlight: number;
	queued: number;
	/** Engine time of all queued and in-flight calls; see `estimateWorkMs`. */
	outstandingWorkMs: number;
	/** Tokens held for running programs, of which `cacheCapacityTokens` fit. */
	cacheUsedTokens: number;
	cacheCapacityTokens: number;
	/** Running programs of the caller at hand and of all callers, for fairness under overload. */
	callerPrograms: number;
	programs: number;
	activeCallers: number;
};

/** A call that asks for admission. */
export type AdmissionCall = {
	programId: ProgramId;
	callerId: CallerId;
	/** True for the first call of a program; running programs are refused last. */
	isNewProgram: boolean;
	deadlineMs?: number;
	/** Least time that the rest of the program needs on an idle fleet, if known. */
	expectedProgramMs?: number;
	/** Selector priority; a positive one is refused later. */
	priority?: number;
};

/** Outcome of `admitCall`; a refusal has the verdict `not-run`. */
export type AdmissionDecision =
	| {admitted: true}
	| {
			admitted: false;
			reason: 'overloaded' | 'deadline-unreachable';
			retryAfterMs: number;
	  };

/** Input of `decideRetention`, at the start of a pause or the end of a program. */
export type RetentionInput = {
	/** Tokens of this program in the engine's cache. */
	cachedTokens: number;
	/** Expected length of the pause; undefined when nothing is known. */
	expectedPauseMs?: number;
	/** True when the engine would evict this cache before any other; defaults to false. */
	nextToEvict?: boolean;
	/** True when the program has ended; its cache is never kept. */
	programEnded: boolean;
	cacheUsedTokens: number;
	cacheCapacityTokens: number;
	/** Host memory that is free for exported cache; 0 when the engine cannot export. */
	exportFreeTokens: number;
};

/** Work that is queued or in flight at an engine. */
export type OpenWork = {
	calls: number;
	prefillTokens: number;
	completionTokens: number;
};

/** Input of `estimateOpenWork`. */
export type OpenWorkInput = {
	/** What the engine or its dispatcher reported last. */
	report: OpenWork;
	/** Open work of this process at the time at which the report was made. */
	ownAtReport: OpenWork;
	/** Open work of this process now. */
	own: OpenWork;
	/** Time since the report was made. */
	reportAgeMs: number;
	/** Number of processes that send work to the engine. */
	dispatchers: number;
};

/** What a dispatcher has in flight at its engine. */
export type InFlightLoad = {
	slots: number;
	inFlight: number;
	/** Prompt and expected completion tokens of the calls in flight. */
	inFlightTokens: number;
	cacheCapacityTokens: number;
};

/** Random number in [0, 1). */
export type RandomSource = () => number;
