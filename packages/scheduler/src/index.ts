export {admitCall} from './admit-call.ts';
export {
	type CallerService,
	createCallerService,
	readService,
	recordService,
} from './caller-service.ts';
export {
	chooseEngine,
	estimateRoutingCost,
	isEligible,
} from './choose-engine.ts';
export {compareCalls, type OrderContext} from './compare-calls.ts';
export {decideRetention} from './decide-retention.ts';
export {
	createEngineSpeeds,
	type EngineSpeeds,
	readRelativeSpeed,
	recordSpeed,
} from './engine-speed.ts';
export {estimateOpenWork} from './estimate-open-work.ts';
export {estimateWorkMs, type WorkTokens} from './estimate-work.ts';
export {hasCapacity} from './has-capacity.ts';
export {orderQueue, pickNext} from './pick-next.ts';
export {DEFAULT_TUNING, readTuning} from './policy-tuning.ts';
export {type EngineDirectory, sampleViews} from './sample-views.ts';
export type * from './types.ts';
