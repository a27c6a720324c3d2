/** Cost model and capacities of a simulated engine. */
export type EngineModel = {
	/** Maximum batch size; further calls wait in the engine in order of arrival. */
	maxBatch: number;
	/** Number of calls in flight that the engine batches efficiently. */
	slots: number;
	prefillMsPerToken: number;
	/** Step time is `stepBaseMs + stepPerCallMs * batch + stepPerPairMs * batch ** 2`. */
	stepBaseMs: number;
	stepPerCallMs: number;
	stepPerPairMs: number;
	/** Share of engine time that prefill takes while other calls decode. */
	prefillShare: number;
	cacheCapacityTokens: number;
	hostCapacityTokens: number;
	/** Time to move one token of cache between the engine and host memory. */
	transferMsPerToken: number;
	/** Treats every prefix as cached, to compute a bound that no policy can reach. */
	perfectCache?: boolean;
};

/** A mid-sized model on a server with 4 accelerators. */
export const DEFAULT_ENGINE: EngineModel = {
	maxBatch: 48,
	slots: 32,
	prefillMsPerToken: 0.06,
	stepBaseMs: 10,
	stepPerCallMs: 0.35,
	stepPerPairMs: 0.006,
	prefillShare: 0.6,
	cacheCapacityTokens: 600_000,
	hostCapacityTokens: 1_000_000,
	transferMsPerToken: 0.005,
};

/** Computes the time between two tokens of each call in a batch. */
export const computeStepMs = (model: EngineModel, batch: number): number =>
	model.stepBaseMs +
	model.stepPerCallMs * batch +
	model.stepPerPairMs * batch ** 2;
