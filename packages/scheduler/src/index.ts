export type {
	AdmissionAction,
	AdmissionEvent,
	AdmissionReason,
	AdmissionState,
	CallEnd,
	RefusalInputs,
} from './admission-types.ts';
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
export {
	type ConcurrencyLimit,
	createConcurrencyLimit,
	type LimitObservation,
	mayStartRequest,
	recordAttempt,
	recordStart,
	type ServiceCapacity,
	shareOfSlots,
	sizeClassOf,
	START_LIMIT,
} from './concurrency-limit.ts';
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
export {
	createProgramNeeds,
	estimateNeed,
	expectDueAtMs,
	noteTurn,
	expectDurationMs,
	type ProgramCall,
	type ProgramNeeds,
	recordServedCall,
	type RemainingNeed,
} from './program-needs.ts';
export {
	createRetryBudgets,
	recordFirstAttempt,
	type RetryBudgets,
	takeRetry,
} from './retry-budget.ts';
export {
	AGED_SHARE,
	type ArrivingCall,
	concurrencyOf,
	createServiceQueue,
	estimateQueueWaitMs,
	expectUnderWayWaitMs,
	type ServiceQueue,
	type WaitingCall,
} from './service-queue.ts';
export {createAdmissionState, stepAdmission} from './step-admission.ts';
export type * from './types.ts';
