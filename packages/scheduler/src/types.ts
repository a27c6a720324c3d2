import type {
	CallerId,
	ProgramId,
	UpstreamId,
	ZoneName,
} from '@marjoramcove/types';

/** Settings of the scheduling policy: the weights of latency and of recomputed cache, and the tuning. */
export type PolicySettings = {
	latencyWeight: number;
	cacheWeight: number;
	/** Overrides of the tuning defaults; see {@link PolicyTuning}. */
	tuning?: Partial<PolicyTuning>;
	/**
	 * Orders calls by what their programs still need, see {@link ProgramOrder}, and applies fairness within the
	 * highest waiting priority only. Absent: by the start of the program and uncached prompt.
	 */
	programOrder?: ProgramOrder;
};

/**
 * Order of calls with the same priority, after those of programs under way: `least-slack` serves the least
 * time left relative to the remaining need, `least-need` the least remaining need, so that more programs end
 * in time when not all of them can.
 */
export type ProgramOrder = 'least-need' | 'least-slack';

/** A call that waits for an engine, with the data that ordering uses. */
export type QueuedCall = {
	programId: ProgramId;
	callerId: CallerId;
	requestId: string;
	/** Virtual or monotonic time at which the call was queued. */
	queuedAtMs: number;
	/** Deadline of the whole program, if the caller set one. */
	deadlineMs?: number;
	/** Service that the program has received so far, in tokens. */
	attainedTokens: number;
	promptTokens: number;
	/** Estimate of the prompt tokens that are cached on this engine. */
	cachedTokens: number;
	expectedCompletionTokens: number;
	turn: number;
	priority: number;
	/** Time at which the program was admitted; the queueing time when absent. */
	programStartedAtMs?: number;
	/**
	 * Service that the caller has received on this engine, see `recordService`, in milliseconds of
	 * engine time.
	 */
	callerServiceMs?: number;
	/** Whether the program has started before this call; used with {@link ProgramOrder}. */
	isUnderWay?: boolean;
	/** Expected time until the end of the program without waiting; used with {@link ProgramOrder}. */
	remainingNeedMs?: number;
};

/** A process's view of one engine: its own dispatch records, corrected by delayed load reports. */
export type EngineView = {
	upstreamId: UpstreamId;
	zone: ZoneName;
	slots: number;
	inFlight: number;
	queued: number;
	/** Prompt tokens to compute and completion tokens to generate for queued and in-flight calls. */
	outstandingTokens: number;
	/** Estimate of the prompt tokens of the requesting program that are cached on this engine. */
	cachedTokens: number;
	cacheCapacityTokens: number;
	/**
	 * Observed speed relative to the fleet's average; routing treats every speed from 0.1 upwards as
	 * normal.
	 */
	relativeSpeed: number;
	leaving: boolean;
	healthy: boolean;
	/** Completion tokens in `outstandingTokens`; a fixed share is assumed when absent. */
	outstandingCompletionTokens?: number;
	/** Cached tokens of programs on this engine that are expected to be reused. */
	cacheUsedTokens?: number;
};

/** A call to be routed to an engine. */
export type RoutingRequest = {
	programId: ProgramId;
	promptTokens: number;
	expectedCompletionTokens: number;
	zone: ZoneName;
	/** Engine that served the previous turn of the program. */
	previousUpstreamId?: UpstreamId;
	deadlineMs?: number;
	/** Number of turns that the program has completed. */
	turn?: number;
};

/** What happens to a program's KV cache during a pause. */
export type RetentionDecision = 'keep' | 'export' | 'drop';

/** Tuning constants of the policy; times are in milliseconds of one engine at normal speed. */
export type PolicyTuning = {
	/** Engine time to compute one prompt token. */
	prefillMsPerToken: number;
	/** Engine time to generate one token in a full batch (step time divided by batch size). */
	decodeMsPerToken: number;
	/** Time between two tokens of one call in a full batch. */
	stepMs: number;
	/** Latency added for an engine in another zone. */
	zoneDelayMs: number;
	/** Number of random engines that `sampleViews` adds to those that may hold the program's cache. */
	sampledEngines: number;
	/** Waiting time after which a call is starved and precedes all calls that are not. */
	starvationMs: number;
	/** Maximum service by which a caller may exceed the least-served waiting caller of an engine. */
	fairnessSlackMs: number;
	/** Expected queueing time above which new programs are refused. */
	admissionWaitMs: number;
	/** Expected queueing time above which calls of running programs are also refused. */
	overloadWaitMs: number;
	/** Share of the cache above which new programs are refused. */
	admissionCacheShare: number;
	/** Time to move one token of cache between the engine and host memory. */
	transferMsPerToken: number;
	/** Age above which a load report is ignored. */
	staleReportMs: number;
	/** Share of the cache that in-flight calls may use; the rest holds the prefixes of paused programs. */
	runningCacheShare: number;
	/** Cache utilisation up to which the cache of a paused program is kept, however long the pause. */
	retentionCacheShare: number;
};

/** A shard owner's view of the load on the engines that a program may use. */
export type FleetLoad = {
	/** Engines that accept work. */
	engines: number;
	slots: number;
	inFlight: number;
	queued: number;
	/** Engine time of all queued and in-flight calls, see `estimateWorkMs`. */
	outstandingWorkMs: number;
	/** Cache tokens held for running programs, out of `cacheCapacityTokens`. */
	cacheUsedTokens: number;
	cacheCapacityTokens: number;
	/**
	 * Running programs of the requesting caller, compared with those of all callers for fairness under
	 * overload.
	 */
	callerPrograms: number;
	programs: number;
	activeCallers: number;
	/** Expected queueing time of the call, where it is known better than from the sums above. */
	waitMs?: number;
};

/** A call that requests admission. */
export type AdmissionCall = {
	programId: ProgramId;
	callerId: CallerId;
	/** True for the first call of a program; running programs are refused last. */
	isNewProgram: boolean;
	deadlineMs?: number;
	/** Minimum time that the rest of the program takes on an idle fleet, if known. */
	expectedProgramMs?: number;
	/** Priority from the selector; calls with a positive priority are refused at a higher load. */
	priority?: number;
	/**
	 * Longest queueing time that leaves the call enough time to be served. Replaces the tuned limits and the
	 * lower bound of the retry delay, which then says when the wait will be short enough.
	 */
	maxWaitMs?: number;
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
	/** Expected length of the pause; undefined when unknown. */
	expectedPauseMs?: number;
	/** Whether this cache is the engine's next eviction candidate; defaults to false. */
	nextToEvict?: boolean;
	/** Whether the program has ended; its cache is then always dropped. */
	programEnded: boolean;
	cacheUsedTokens: number;
	cacheCapacityTokens: number;
	/** Free host memory for exported cache; 0 when the engine cannot export. */
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
	/** Latest report of the engine or its dispatcher. */
	report: OpenWork;
	/** Open work sent by this process, as of the time of the report. */
	ownAtReport: OpenWork;
	/** Open work sent by this process, as of now. */
	own: OpenWork;
	/** Time since the report was made. */
	reportAgeMs: number;
	/** Number of processes that send work to the engine. */
	dispatchers: number;
};

/** In-flight load of a dispatcher at its engine. */
export type InFlightLoad = {
	slots: number;
	inFlight: number;
	/** Prompt and expected completion tokens of the in-flight calls. */
	inFlightTokens: number;
	cacheCapacityTokens: number;
};

/** Random number in [0, 1). */
export type RandomSource = () => number;
