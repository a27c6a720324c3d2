export {
	matchesDesiredState,
	type EngineState,
	findMissingWeights,
} from './engine-state.ts';
export type * from './events.ts';
export {type HeldProgram, planReleases} from './plan-releases.ts';
export {
	type ControlledEngine,
	type ControllerSettings,
	type ControllerState,
	createControllerState,
	DEFAULT_CONTROLLER_SETTINGS,
	type EngineRecord,
	unfencedWaitMs,
} from './state.ts';
export {canIssueOrders, stepController} from './step-controller.ts';
