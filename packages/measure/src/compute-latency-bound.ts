import {type EngineModel, computeStepMs} from './engine-model.ts';
import {computeQuantile} from './metrics.ts';
import type {Row} from './row.ts';
import type {Scenario} from './scenarios.ts';
import {type Chain, drawWorkload, computeChainLatencyMs} from './workload.ts';

/** Share of the programs whose latency does not affect the p95. */
const EXEMPT_SHARE = 0.05;

const BISECTION_ROUNDS = 24;

export const BOUND_COLUMNS = [
	'scenario',
	'load',
	'programs',
	'prefillShare',
	'equalBatch',
	'equalStepP95Ms',
	'leastP95Ms',
	'leastP95WithoutPrefillDelayMs',
];

/** Factors by which prefill and decoding are slower than on an engine that does nothing else. */
type Slowdown = {prefill: number; decode: number};

type Demand = {chain: Chain; completionTokens: number; prefillMs: number};

/** Bisects for the smallest value in the range that satisfies a predicate, which must also hold for all larger values. */
const findMinimum = (
	lowerLimit: number,
	upperLimit: number,
	predicate: (value: number) => boolean,
): number => {
	let low = lowerLimit;
	let high = upperLimit;
	for (let round = 0; round < BISECTION_ROUNDS; round++) {
		const middle = (low + high) / 2;
		if (predicate(middle)) {
			high = middle;
		} else {
			low = middle;
		}
	}

	return high;
};

/** Computes the latency of a chain that decodes in batches of a constant size. */
const computeLatencyMs = (
	chain: Chain,
	{model, callerDelayMs}: Scenario,
	batch: number,
	slowdown: Slowdown,
): number =>
	computeChainLatencyMs(chain, {
		callerDelayMs,
		prefillMsPerToken: model.prefillMsPerToken * slowdown.prefill,
		completionMsPerToken: computeStepMs(model, batch) * slowdown.decode,
	});

const sumTurns = (
	chain: Chain,
	name: 'newTokens' | 'completionTokens',
): number =>
	chain.turns.reduce(
		(sum, turn) =>
			sum +
			turn[name] +
			turn.subAgents.reduce((own, sub) => own + sumTurns(sub, name), 0),
		0,
	);

/** Computes the batch size that maximizes the throughput of an engine that only decodes. */
const computeBestBatch = (model: EngineModel): number =>
	Math.min(model.maxBatch, Math.sqrt(model.stepBaseMs / model.stepPerPairMs));

const computeEngineMsPerToken = (model: EngineModel, batch: number): number =>
	computeStepMs(model, batch) / batch;

/** Computes the engine time, beyond the minimum, that a program needs to finish within the target. */
const computeExtraMs = (
	{chain, completionTokens}: Demand,
	scenario: Scenario,
	targetMs: number,
	slowdown: Slowdown,
): number => {
	const {model} = scenario;
	const isLate = (batch: number) =>
		computeLatencyMs(chain, scenario, batch, slowdown) > targetMs;

	const best = computeBestBatch(model);
	if (!isLate(best)) {
		return 0;
	}

	if (isLate(1)) {
		return Number.POSITIVE_INFINITY;
	}

	const batch = findMinimum(1, best, isLate);
	return (
		completionTokens *
		(computeEngineMsPerToken(model, batch) -
			computeEngineMsPerToken(model, best))
	);
};

/**
 * Finds the minimum p95 of the program latency. The cheapest 95% of the programs each decode in a batch
 * of the size that just meets the target, and the engine time must suffice for all programs.
 */
const findMinP95Ms = (
	demands: readonly Demand[],
	scenario: Scenario,
	capacityMs: number,
	slowdown: Slowdown,
): number => {
	const {model} = scenario;
	const minMsPerToken = computeEngineMsPerToken(model, computeBestBatch(model));
	const minEngineMs = demands.reduce(
		(sum, {prefillMs, completionTokens}) =>
			sum + prefillMs + completionTokens * minMsPerToken,
		0,
	);
	const servedCount = Math.ceil((1 - EXEMPT_SHARE) * demands.length);
	const maxTargetMs = 1_000_000;
	return findMinimum(0, maxTargetMs, (targetMs) => {
		const extras = demands
			.map((demand) => computeExtraMs(demand, scenario, targetMs, slowdown))
			.sort((left, right) => left - right)
			.slice(0, servedCount);
		return (
			extras.reduce((sum, extraMs) => sum + extraMs, minEngineMs) <= capacityMs
		);
	});
};

const createDemands = (
	scenario: Scenario,
	load: number,
	seed: number,
): Demand[] =>
	drawWorkload({...scenario, load, seed})
		.filter(({measured}) => measured)
		.map(({chain}) => ({
			chain,
			completionTokens: sumTurns(chain, 'completionTokens'),
			prefillMs:
				sumTurns(chain, 'newTokens') * scenario.model.prefillMsPerToken,
		}));

const sumOf = (
	demands: readonly Demand[],
	name: 'completionTokens' | 'prefillMs',
): number => demands.reduce((sum, demand) => sum + demand[name], 0);

/** Computes the p95 when all programs decode in batches of the same size. */
const computeEqualP95Ms = (
	demands: readonly Demand[],
	scenario: Scenario,
	batch: number,
	slowdown: Slowdown,
): number | null => {
	const latencies = demands
		.map(({chain}) => computeLatencyMs(chain, scenario, batch, slowdown))
		.sort((left, right) => left - right);
	return computeQuantile(latencies, 1 - EXEMPT_SHARE);
};

const computeBoundRow = (
	scenario: Scenario,
	load: number,
	seed: number,
): Row => {
	const {model, engines, arrivals} = scenario;
	const demands = createDemands(scenario, load, seed);
	const capacityMs = engines * arrivals.measuredMs;
	const prefillMs = sumOf(demands, 'prefillMs');
	const prefillShare = prefillMs / capacityMs;
	const msPerToken =
		(capacityMs - prefillMs) / sumOf(demands, 'completionTokens');
	const equalBatch = findMinimum(
		1,
		computeBestBatch(model),
		(batch) => computeEngineMsPerToken(model, batch) <= msPerToken,
	);
	const slowdown = {
		prefill: 1 / model.prefillShare,
		decode: 1 / (1 - prefillShare),
	};
	const computeMinP95Ms = (slowdown: Slowdown) =>
		findMinP95Ms(demands, scenario, capacityMs, slowdown);
	return {
		scenario: scenario.name,
		load,
		policy: 'any',
		seed,
		programs: demands.length,
		prefillShare,
		equalBatch,
		equalStepP95Ms: computeEqualP95Ms(demands, scenario, equalBatch, slowdown),
		leastP95Ms: computeMinP95Ms(slowdown),
		leastP95WithoutPrefillDelayMs: computeMinP95Ms({prefill: 1, decode: 1}),
	};
};

/**
 * Computes lower bounds of the p95 in a steady state at loads below 1.0, without a simulation. No prefix
 * is computed twice and no call waits.
 *
 * - `equalStepP95Ms`: all engines have the same constant batch size (`equalBatch`), which has the lowest
 *   mean time per token.
 * - `leastP95Ms`: every program has the batch size that minimizes the p95, and 5% of the programs are
 *   exempt. Both bounds slow decoding down by the mean share of prefill, as engines do.
 * - `leastP95WithoutPrefillDelayMs`: like `leastP95Ms`, on engines whose prefill delays nothing.
 */
export const computeLatencyBound = (scenario: Scenario, seed: number): Row[] =>
	scenario.loads
		.filter((load) => load < 1)
		.map((load) => computeBoundRow(scenario, load, seed));
