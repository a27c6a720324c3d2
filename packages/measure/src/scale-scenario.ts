import type {Agent} from './agents.ts';
import type {EngineModel} from './engine-model.ts';
import type {Scenario} from './scenarios.ts';

/** Factors by which a live run scales down the scenario. */
const TOKENS_FACTOR = 0.1;
const COMPLETION_FACTOR = 0.2;
const PAUSE_FACTOR = 0.1;
const DEADLINE_FACTOR = 0.2;
const TURNS_FACTOR = 0.5;

/** Cost model of the fake engine of `test-support` with the options of a live run. */
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
	[min, max]: [number, number],
	factor: number,
): [number, number] => [
	Math.max(1, Math.round(min * factor)),
	Math.max(1, Math.round(max * factor)),
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
	medianDeadlineMs: agent.medianDeadlineMs * DEADLINE_FACTOR,
});

/** Scales a scenario down so that real daemons on one machine can run it; removes sub-agents. */
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
