import type {Agent} from './agents.ts';
import {type EngineModel, computeStepMs} from './engine-model.ts';
import {RandomDraws} from './random-draws.ts';

/** One model call, the sub-agents that it starts, and the pause after they finish. */
export type Turn = {
	newTokens: number;
	completionTokens: number;
	subAgents: Chain[];
	pauseMs: number;
	/** Mean duration of this kind of pause; the caller announces it when the pause starts. */
	expectedPauseMs: number;
};

/** A sequence of dependent calls that share one growing history. */
export type Chain = {turns: Turn[]};

export type ProgramPlan = {
	index: number;
	agent: Agent;
	caller: number;
	arrivalMs: number;
	deadlineMs: number;
	/** Latency of the program when it runs alone on an idle fleet. */
	lowerBoundMs: number;
	/** Whether the program is included in the metrics; programs of the warm-up are not. */
	measured: boolean;
	chain: Chain;
};

/** Arrival process: a warm-up, then a constant rate until arrivals stop. */
export type ArrivalPlan = {
	warmUpMs: number;
	warmUpLoad: number;
	measuredMs: number;
	/** Time from the last arrival to a deadline that all programs share; none when absent. */
	commonDeadlineAfterMs?: number;
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

/** Costs of the steps of a chain whose calls never wait, with perfect caching. */
export type StepCosts = {
	callerDelayMs: number;
	prefillMsPerToken: number;
	completionMsPerToken: number;
};

/** Computes the latency of a chain whose calls never wait, with perfect caching. */
export const computeChainLatencyMs = (
	chain: Chain,
	costs: StepCosts,
): number => {
	const {callerDelayMs, prefillMsPerToken, completionMsPerToken} = costs;
	let totalMs = 0;
	for (const [index, turn] of chain.turns.entries()) {
		totalMs +=
			2 * callerDelayMs +
			turn.newTokens * prefillMsPerToken +
			turn.completionTokens * completionMsPerToken +
			Math.max(
				0,
				...turn.subAgents.map((sub) => computeChainLatencyMs(sub, costs)),
			);
		totalMs += index === chain.turns.length - 1 ? 0 : turn.pauseMs;
	}

	return totalMs;
};

/** Computes the engine time of a chain with perfect caching when every slot of the engine is in use. */
export const computeWorkMs = (chain: Chain, model: EngineModel): number => {
	const decodeMs = computeStepMs(model, model.slots) / model.slots;
	let totalMs = 0;
	for (const turn of chain.turns) {
		totalMs +=
			turn.newTokens * model.prefillMsPerToken +
			turn.completionTokens * decodeMs;
		for (const subAgent of turn.subAgents) {
			totalMs += computeWorkMs(subAgent, model);
		}
	}

	return totalMs;
};

const drawAgent = (agents: Agent[], draws: RandomDraws): Agent =>
	draws.choose(agents, ({share}) => share);

/** Number of sampled programs from which the mean work per program is estimated. */
const CAPACITY_SAMPLES = 4000;

/** Computes the programs per millisecond that the fleet serves at a load of 1.0. */
export const computeCapacityPerMs = (
	agents: Agent[],
	engines: number,
	model: EngineModel,
): number => {
	const draws = new RandomDraws(1);
	let workMs = 0;
	for (let sample = 0; sample < CAPACITY_SAMPLES; sample++) {
		workMs += computeWorkMs(drawChain(drawAgent(agents, draws), draws), model);
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
	const {
		warmUpMs,
		measuredMs,
		commonDeadlineAfterMs: bellAfterMs,
	} = options.arrivals;
	const commonDeadlineMs =
		bellAfterMs === undefined
			? Number.POSITIVE_INFINITY
			: warmUpMs + measuredMs + bellAfterMs;
	return {
		index,
		agent,
		caller: draws.zipf(options.callers),
		arrivalMs,
		deadlineMs: Math.min(
			commonDeadlineMs,
			arrivalMs + draws.logNormal(agent.medianDeadlineMs, 0.3),
		),
		lowerBoundMs: computeChainLatencyMs(chain, {
			callerDelayMs: options.callerDelayMs,
			prefillMsPerToken: options.model.prefillMsPerToken,
			completionMsPerToken: computeStepMs(options.model, 1),
		}),
		measured: arrivalMs >= warmUpMs,
		chain,
	};
};

/** Draws the programs of one run. Equal options give equal programs, so that all policies see the same workload. */
export const drawWorkload = (options: WorkloadOptions): ProgramPlan[] => {
	const draws = new RandomDraws(options.seed);
	const {agents, engines, model, arrivals} = options;
	const capacityPerMs = computeCapacityPerMs(agents, engines, model);
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
