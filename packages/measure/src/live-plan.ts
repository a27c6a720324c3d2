import type {Agent} from './agents.ts';
import type {EngineModel} from './engine-model.ts';
import type {Scenario} from './scenarios.ts';

/** Factors by which a live run is smaller than the scenario. */
const TOKENS_FACTOR = 0.1;
const COMPLETION_FACTOR = 0.2;
const PAUSE_FACTOR = 0.1;
const PATIENCE_FACTOR = 0.2;
const TURNS_FACTOR = 0.5;

/** Cost model of the stand-in engine of `test-support` with the options of a live run. */
export const LIVE_ENGINE: EngineModel = {
	maxBatch: 4,
	slots: 4,
	prefillMsPerToken: 0.05,
	stepBaseMs: 10,
	stepPerCallMs: 0,
	stepPerPairMs: 0,
	prefillShare: 0.5,
	cacheCapacityTokens: 100_000,
	hostCapacityTokens: 0,
	transferMsPerToken: 0,
};

const scaleRange = (
	[least, largest]: [number, number],
	factor: number,
): [number, number] => [
	Math.max(1, Math.round(least * factor)),
	Math.max(1, Math.round(largest * factor)),
];

const scaleAgent = (agent: Agent): Agent => ({
	...agent,
	turns: scaleRange(agent.turns, TURNS_FACTOR),
	firstPromptTokens: scaleRange(agent.firstPromptTokens, TOKENS_FACTOR),
	newPromptTokens: agent.newPromptTokens * TOKENS_FACTOR,
	completionTokens: agent.completionTokens * COMPLETION_FACTOR,
	pauses: agent.pauses.map((pause) => ({
		...pause,
		meanMs: pause.meanMs * PAUSE_FACTOR,
	})),
	subAgentProbability: 0,
	patienceMs: agent.patienceMs * PATIENCE_FACTOR,
});

/** Makes a scenario small enough for real daemons on one machine; without sub-agents. */
export const scaleScenario = (scenario: Scenario): Scenario => ({
	...scenario,
	name: `${scenario.name}-live`,
	agents: scenario.agents.map((agent) => scaleAgent(agent)),
	engines: 3,
	callers: 6,
	callerDelayMs: 0,
	model: LIVE_ENGINE,
	arrivals: {warmUpMs: 5000, warmUpLoad: 0.5, measuredMs: 25_000},
	loads: [0.7, 1.1],
});
