export {FAULTS, type Fault} from './faults.ts';
export {computeMetrics, type Metrics} from './metrics.ts';
export {averageRows, type Row} from './row.ts';
export {runFailures} from './run-failures.ts';
export {runPolicy} from './run-policy.ts';
export {runScenario} from './run-scenario.ts';
export {runTarget} from './run-target.ts';
export {BARAMYEON, PIATOTHIKI, type Scenario} from './scenarios.ts';
export {drawWorkload, type ProgramPlan} from './workload.ts';
