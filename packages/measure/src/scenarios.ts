import {type PolicySettings, type PolicyTuning} from '@marjoramcove/scheduler';
import {type Agent, BARAMYEON_AGENTS, PIATOTHIKI_AGENTS} from './agents.ts';
import {
	DEFAULT_ENGINE,
	type EngineModel,
	computeStepMs,
} from './engine-model.ts';
import type {ArrivalPlan} from './workload.ts';

/** A deployment and its workload. */
export type Scenario = {
	name: string;
	agents: Agent[];
	engines: number;
	zones: number;
	routers: number;
	callers: number;
	callerDelayMs: number;
	model: EngineModel;
	settings: PolicySettings;
	arrivals: ArrivalPlan;
	loads: number[];
};

/** Derives the policy constants that depend on the engine; an operator measures them once per model. */
export const createEngineTuning = (
	model: EngineModel,
): Partial<PolicyTuning> => ({
	prefillMsPerToken: model.prefillMsPerToken,
	decodeMsPerToken: computeStepMs(model, model.slots) / model.slots,
	stepMs: computeStepMs(model, model.slots),
	transferMsPerToken: model.transferMsPerToken,
});

/** A warm-up at half of the capacity, then a peak before a deadline that all programs share. */
export const BARAMYEON: Scenario = {
	name: 'baramyeon',
	agents: BARAMYEON_AGENTS,
	engines: 12,
	zones: 3,
	routers: 4,
	callers: 40,
	callerDelayMs: 3,
	model: DEFAULT_ENGINE,
	settings: {
		latencyWeight: 1,
		cacheWeight: 3,
		tuning: createEngineTuning(DEFAULT_ENGINE),
	},
	arrivals: {
		warmUpMs: 60_000,
		warmUpLoad: 0.5,
		measuredMs: 900_000,
		commonDeadlineAfterMs: 90_000,
	},
	loads: [0.5, 0.7, 0.9, 1.1, 1.4],
};

/** Long sessions with long pauses whose working set exceeds the cache. */
export const PIATOTHIKI: Scenario = {
	name: 'piatothiki',
	agents: PIATOTHIKI_AGENTS,
	engines: 6,
	zones: 3,
	routers: 4,
	callers: 25,
	callerDelayMs: 1,
	model: DEFAULT_ENGINE,
	settings: {
		latencyWeight: 1,
		cacheWeight: 6,
		tuning: {
			...createEngineTuning(DEFAULT_ENGINE),
			// Sessions last for minutes and are paused most of the time, so the deadlines are met even
			// with a wait of seconds per call and more live programs than fit in the cache.
			admissionWaitMs: 1500,
			admissionCacheShare: 4,
		},
	},
	arrivals: {warmUpMs: 300_000, warmUpLoad: 0.7, measuredMs: 600_000},
	loads: [0.7, 0.9, 1.1, 1.4],
};
