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
	/** Observed speed relative to the fleet's median; below 1 is slower. */
	relativeSpeed: number;
	leaving: boolean;
	healthy: boolean;
};

export type RoutingRequest = {
	programId: ProgramId;
	promptTokens: number;
	expectedCompletionTokens: number;
	zone: ZoneName;
	/** Engine that served the previous turn of the program. */
	previousUpstreamId?: UpstreamId;
	deadlineMs?: number;
};

/** What to do with cached memory over a pause of a program. */
export type RetentionDecision = 'keep' | 'export' | 'drop';
