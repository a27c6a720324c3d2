export {RandomSource} from './random-source.ts';
export {runSoak, type SoakOptions} from './run-soak.ts';
export {
	type RoundSummary,
	type Scenario,
	type ScenarioOptions,
	SoakFailureError,
} from './scenario.ts';
export {SCENARIOS} from './scenarios/index.ts';
export {
	type ConfigurationChoice,
	type ConfigurationFault,
	ConfigurationModel,
} from './models/configuration-model.ts';
export {FencingModel, type FencingStep} from './models/fencing-model.ts';
export {
	type LeaseChoice,
	type LeaseFault,
	LeaseModel,
} from './models/lease-model.ts';
export {
	type RegistrarLeaseChoice,
	RegistrarLeaseModel,
} from './models/registrar-lease-model.ts';
export {type RegistrarLeaseFault} from './models/registrar-lease-processes.ts';
export {type ProgramFault} from './models/program-faults.ts';
export {ProgramModel, type ProgramStepChoice} from './models/program-model.ts';
export {collectProblems} from './models/collect-problems.ts';
export {SimulatedEngine} from './models/simulated-engine.ts';
export {VirtualTime} from '@marjoramcove/consensus';
