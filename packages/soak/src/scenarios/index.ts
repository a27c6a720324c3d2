import type {Scenario} from '../scenario.ts';
import {consensusScenario} from './consensus.ts';

/** All scenarios; a new one is registered here. */
export const SCENARIOS: readonly Scenario[] = [consensusScenario];
