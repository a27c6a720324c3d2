/** Cost model and sizes of an engine stand-in. */
export type EngineModel = {
	/** Largest batch; further calls wait in the engine in the order of arrival. */
	maxBatch: number;
	/** Calls in flight that the engine batches well. */
	slots: number;
	prefillMsPerToken: number;
	/** Step time is `stepBaseMs + stepPerCallMs * batch + stepPerPairMs * batch ** 2`. */
	stepBaseMs: number;
	stepPerCallMs: number;
	stepPerPairMs: number;
	/** Share of the engine time that prefill takes while calls decode. */
	prefillShare: number;
	cacheCapacityTokens: number;
	hostCapacityTokens: number;
	/** Time to move one token of cache between the engine and host memory. */
	transferMsPerToken: number;
	/** Every prefix counts as cached; only for a bound that no policy can reach. */
	perfectCache?: boolean;
};

/** A mid-sized model on a server of 4 accelerators. */
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

/** Time between two tokens of each call in a batch. */
export const readStepMs = (model: EngineModel, batch: number): number =>
	model.stepBaseMs +
	model.stepPerCallMs * batch +
	model.stepPerPairMs * batch ** 2;
