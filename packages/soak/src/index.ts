export {RandomSource} from './random-source.ts';
export {runSoak, type SoakOptions} from './run-soak.ts';
export {
	type RoundSummary,
	type Scenario,
	type ScenarioOptions,
	SoakFailureError,
} from './scenario.ts';
export {SCENARIOS} from './scenarios/index.ts';
export {VirtualTime} from '@marjoramcove/consensus';
