import {type EngineModel, readStepMs} from './engine-model.ts';
import {readQuantile} from './figures.ts';
import type {Row} from './row.ts';
import type {Scenario} from './scenarios.ts';
import {type Chain, drawWorkload, readChainLatencyMs} from './workload.ts';

/** Share of the programs that may be as late as they like without a change of the p95. */
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

/** Delay of prefill and decoding, relative to an engine that does nothing else at the time. */
type Stretch = {prefill: number; decode: number};

type Demand = {chain: Chain; completionTokens: number; prefillMs: number};

/** Least value in the range for which `holds` is true; it must stay true above that value. */
const findLeast = (
	least: number,
	largest: number,
	holds: (value: number) => boolean,
): number => {
	let low = least;
	let high = largest;
	for (let round = 0; round < BISECTION_ROUNDS; round++) {
		const middle = (low + high) / 2;
		if (holds(middle)) {
			high = middle;
		} else {
			low = middle;
		}
	}

	return high;
};

/** Latency of a chain that decodes in batches of one size. */
const readLatencyMs = (
	chain: Chain,
	{model, callerDelayMs}: Scenario,
	batch: number,
	stretch: Stretch,
): number =>
	readChainLatencyMs(chain, {
		callerDelayMs,
		prefillMsPerToken: model.prefillMsPerToken * stretch.prefill,
		completionMsPerToken: readStepMs(model, batch) * stretch.decode,
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

/** Batch with the largest throughput of an engine that only decodes. */
const readBestBatch = (model: EngineModel): number =>
	Math.min(model.maxBatch, Math.sqrt(model.stepBaseMs / model.stepPerPairMs));

const readEngineMsPerToken = (model: EngineModel, batch: number): number =>
	readStepMs(model, batch) / batch;

/** Engine time beyond the least one that makes a program finish within the target. */
const readExtraMs = (
	{chain, completionTokens}: Demand,
	scenario: Scenario,
	targetMs: number,
	stretch: Stretch,
): number => {
	const {model} = scenario;
	const isLate = (batch: number) =>
		readLatencyMs(chain, scenario, batch, stretch) > targetMs;

	const best = readBestBatch(model);
	if (!isLate(best)) {
		return 0;
	}

	if (isLate(1)) {
		return Number.POSITIVE_INFINITY;
	}

	const batch = findLeast(1, best, isLate);
	return (
		completionTokens *
		(readEngineMsPerToken(model, batch) - readEngineMsPerToken(model, best))
	);
};

/**
 * Least p95 of the program latency: each program decodes in a batch of the size that just meets the
 * target, the cheapest 95% of them, and the engine time must suffice for all.
 */
const findLeastP95Ms = (
	demands: readonly Demand[],
	scenario: Scenario,
	capacityMs: number,
	stretch: Stretch,
): number => {
	const {model} = scenario;
	const leastMsPerToken = readEngineMsPerToken(model, readBestBatch(model));
	const leastMs = demands.reduce(
		(sum, {prefillMs, completionTokens}) =>
			sum + prefillMs + completionTokens * leastMsPerToken,
		0,
	);
	const served = Math.ceil((1 - EXEMPT_SHARE) * demands.length);
	const largestMs = 1_000_000;
	return findLeast(0, largestMs, (targetMs) => {
		const extras = demands
			.map((demand) => readExtraMs(demand, scenario, targetMs, stretch))
			.sort((left, right) => left - right)
			.slice(0, served);
		return (
			extras.reduce((sum, extraMs) => sum + extraMs, leastMs) <= capacityMs
		);
	});
};

const readDemands = (
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

/** P95 when all programs decode in the same batch. */
const readEqualP95Ms = (
	demands: readonly Demand[],
	scenario: Scenario,
	batch: number,
	stretch: Stretch,
): number | null => {
	const latencies = demands
		.map(({chain}) => readLatencyMs(chain, scenario, batch, stretch))
		.sort((left, right) => left - right);
	return readQuantile(latencies, 1 - EXEMPT_SHARE);
};

const computeBoundAt = (
	scenario: Scenario,
	load: number,
	seed: number,
): Row => {
	const {model, engines, arrivals} = scenario;
	const demands = readDemands(scenario, load, seed);
	const capacityMs = engines * arrivals.measuredMs;
	const prefillMs = sumOf(demands, 'prefillMs');
	const prefillShare = prefillMs / capacityMs;
	const msPerToken =
		(capacityMs - prefillMs) / sumOf(demands, 'completionTokens');
	const equalBatch = findLeast(
		1,
		readBestBatch(model),
		(batch) => readEngineMsPerToken(model, batch) <= msPerToken,
	);
	const stretch = {
		prefill: 1 / model.prefillShare,
		decode: 1 / (1 - prefillShare),
	};
	const readLeast = (used: Stretch) =>
		findLeastP95Ms(demands, scenario, capacityMs, used);
	return {
		scenario: scenario.name,
		load,
		policy: 'any',
		seed,
		programs: demands.length,
		prefillShare,
		equalBatch,
		equalStepP95Ms: readEqualP95Ms(demands, scenario, equalBatch, stretch),
		leastP95Ms: readLeast(stretch),
		leastP95WithoutPrefillDelayMs: readLeast({prefill: 1, decode: 1}),
	};
};

/**
 * Computes bounds of the p95 at a load below 1.0 in a steady state, without a simulation. Prefixes are
 * never computed twice and no call waits.
 *
 * `equalStepP95Ms`: all engines have the same constant batch (`equalBatch`), which has the least mean
 * time per token. `leastP95Ms`: every program has the batch that suits the p95, and 5% of the programs
 * do not count. Both slow decoding down by the mean share of prefill, as engines do;
 * `leastP95WithoutPrefillDelayMs` is the second one on engines whose prefill delays nothing.
 */
export const computeLatencyBound = (scenario: Scenario, seed: number): Row[] =>
	scenario.loads
		.filter((load) => load < 1)
		.map((load) => computeBoundAt(scenario, load, seed));
