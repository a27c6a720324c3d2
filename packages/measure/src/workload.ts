import type {Agent} from './agents.ts';
import {type EngineModel, readStepMs} from './engine-model.ts';
import {RandomDraws} from './random-draws.ts';

/** One model call, the sub-agents that it starts and the pause after them. */
export type Turn = {
	newTokens: number;
	completionTokens: number;
	subAgents: Chain[];
	pauseMs: number;
	/** Mean of the kind of pause, which is announced when the pause starts. */
	expectedPauseMs: number;
};

/** A chain of dependent calls with one growing history. */
export type Chain = {turns: Turn[]};

export type ProgramPlan = {
	index: number;
	agent: Agent;
	caller: number;
	arrivalMs: number;
	deadlineMs: number;
	/** Program latency when it is alone on an idle fleet. */
	lowerBoundMs: number;
	/** Whether the program counts for the figures; the warm-up does not. */
	measured: boolean;
	chain: Chain;
};

/** Shape of the arrivals: a warm-up, then a constant rate until the arrivals end before the bell. */
export type ArrivalPlan = {
	warmUpMs: number;
	warmUpLoad: number;
	measuredMs: number;
	/** Time from the last arrival to the closing bell; no bell when absent. */
	bellAfterMs?: number;
};

export type WorkloadOptions = {
	agents: Agent[];
	engines: number;
	model: EngineModel;
	callers: number;
	/** One-way latency between caller and entry daemon. */
	callerDelayMs: number;
	load: number;
	arrivals: ArrivalPlan;
	seed: number;
};

const drawTurn = (agent: Agent, isFirst: boolean, draws: RandomDraws): Turn => {
	const pause = draws.choose(agent.pauses, ({probability}) => probability);
	const hasSubAgents = draws.next() < agent.subAgentProbability;
	return {
		newTokens: isFirst
			? draws.integer(...agent.firstPromptTokens)
			: draws.logNormal(agent.newPromptTokens, 0.6),
		completionTokens: draws.logNormal(agent.completionTokens, 0.5),
		subAgents: hasSubAgents
			? Array.from({length: draws.integer(2, 3)}, () =>
					drawChain(
						{
							...agent,
							turns: [2, 4],
							firstPromptTokens: [1500, 2500],
							subAgentProbability: 0,
						},
						draws,
					),
				)
			: [],
		pauseMs: draws.exponential(pause.meanMs),
		expectedPauseMs: pause.meanMs,
	};
};

const drawChain = (agent: Agent, draws: RandomDraws): Chain => ({
	turns: Array.from({length: draws.integer(...agent.turns)}, (_, turn) =>
		drawTurn(agent, turn === 0, draws),
	),
});

/** Times of the steps of a chain whose calls never wait, with perfect caching. */
export type ChainTimes = {
	callerDelayMs: number;
	prefillMsPerToken: number;
	completionMsPerToken: number;
};

/** Latency of a chain whose calls never wait, with perfect caching. */
export const readChainLatencyMs = (chain: Chain, times: ChainTimes): number => {
	const {callerDelayMs, prefillMsPerToken, completionMsPerToken} = times;
	let totalMs = 0;
	for (const [index, turn] of chain.turns.entries()) {
		totalMs +=
			2 * callerDelayMs +
			turn.newTokens * prefillMsPerToken +
			turn.completionTokens * completionMsPerToken +
			Math.max(
				0,
				...turn.subAgents.map((sub) => readChainLatencyMs(sub, times)),
			);
		totalMs += index === chain.turns.length - 1 ? 0 : turn.pauseMs;
	}

	return totalMs;
};

/** Engine time of a chain with perfect caching in a batch of the engine's slots. */
export const readWorkMs = (chain: Chain, model: EngineModel): number => {
	const decodeMs = readStepMs(model, model.slots) / model.slots;
	let totalMs = 0;
	for (const turn of chain.turns) {
		totalMs +=
			turn.newTokens * model.prefillMsPerToken +
			turn.completionTokens * decodeMs;
		for (const subAgent of turn.subAgents) {
			totalMs += readWorkMs(subAgent, model);
		}
	}

	return totalMs;
};

const drawAgent = (agents: Agent[], draws: RandomDraws): Agent =>
	draws.choose(agents, ({share}) => share);

/** Number of programs from which the mean work of a program is estimated. */
const CAPACITY_SAMPLES = 4000;

/** Programs per millisecond that the fleet serves at 1.0 of its capacity. */
export const readCapacityPerMs = (
	agents: Agent[],
	engines: number,
	model: EngineModel,
): number => {
	const draws = new RandomDraws(1);
	let workMs = 0;
	for (let sample = 0; sample < CAPACITY_SAMPLES; sample++) {
		workMs += readWorkMs(drawChain(drawAgent(agents, draws), draws), model);
	}

	return (engines * CAPACITY_SAMPLES) / workMs;
};

const drawProgram = (
	options: WorkloadOptions,
	{index, arrivalMs}: {index: number; arrivalMs: number},
	draws: RandomDraws,
): ProgramPlan => {
	const agent = drawAgent(options.agents, draws);
	const chain = drawChain(agent, draws);
	const {warmUpMs, measuredMs, bellAfterMs} = options.arrivals;
	const bellMs =
		bellAfterMs === undefined
			? Number.POSITIVE_INFINITY
			: warmUpMs + measuredMs + bellAfterMs;
	return {
		index,
		agent,
		caller: draws.zipf(options.callers),
		arrivalMs,
		deadlineMs: Math.min(
			bellMs,
			arrivalMs + draws.logNormal(agent.patienceMs, 0.3),
		),
		lowerBoundMs: readChainLatencyMs(chain, {
			callerDelayMs: options.callerDelayMs,
			prefillMsPerToken: options.model.prefillMsPerToken,
			completionMsPerToken: readStepMs(options.model, 1),
		}),
		measured: arrivalMs >= warmUpMs,
		chain,
	};
};

/** Draws the programs of one run; the same options give the same programs for every policy. */
export const drawWorkload = (options: WorkloadOptions): ProgramPlan[] => {
	const draws = new RandomDraws(options.seed);
	const {agents, engines, model, arrivals} = options;
	const capacityPerMs = readCapacityPerMs(agents, engines, model);
	const programs: ProgramPlan[] = [];
	let arrivalMs = 0;
	for (;;) {
		const load =
			arrivalMs < arrivals.warmUpMs ? arrivals.warmUpLoad : options.load;
		arrivalMs += draws.exponential(1 / (capacityPerMs * load));
		if (arrivalMs >= arrivals.warmUpMs + arrivals.measuredMs) {
			return programs;
		}

		programs.push(
			drawProgram(options, {index: programs.length, arrivalMs}, draws),
		);
	}
};
