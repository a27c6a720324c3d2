import {RandomDraws} from '../random-draws.ts';

/** Log-normal distribution, given by its mean and the standard deviation of the logarithm, and capped at a maximum. */
export type LogNormal = {mean: number; deviation: number; maximum: number};

/** A kind of program, as specified in the description of a site. */
export type SiteProgramKind = {
	name: string;
	share: number;
	worth: number;
	/** Worth of a program that takes up to twice the target latency. */
	lateWorth: number;
	/** Target latency of a program: a multiple of its latency on idle servers, plus a constant. */
	targetLatencyFactor: number;
	targetLatencyExtraMs: number;
	/** Network round-trip time that the site description specifies for each turn. */
	roundTripMs: number;
	turns: LogNormal;
	pauseMs: LogNormal;
	promptTokens: LogNormal;
	events: LogNormal;
	/** Number of prompt prefixes that programs share; their popularity differs. */
	sharedParts: number;
	sharedTokens: LogNormal;
	/** Probability that a turn starts sub-agents, of two turns each. */
	subAgentShare: number;
	subAgents: LogNormal;
	/** Duration of the longest tool call of a pause; the tool calls run concurrently. */
	toolMs: LogNormal;
	toolShare: number;
};

export type SiteTurn = {
	inputTokens: number;
	outputTokens: number;
	/** Duration of the pause and the tool calls after the turn. */
	pauseMs: number;
	subAgents: SiteTurn[][];
};

export type SiteProgram = {
	id: string;
	kind: SiteProgramKind;
	arrivalMs: number;
	shared: {id: string; tokens: number};
	turns: SiteTurn[];
	/** Worth before it is scaled by the size of the program. */
	worth: number;
};

export type SiteTraffic = {
	kinds: readonly SiteProgramKind[];
	programsPerS: number;
	durationMs: number;
	/** Periods in which the arrival rate is multiplied by a factor. */
	bursts: ReadonlyArray<{fromMs: number; forMs: number; factor: number}>;
	tokensPerEvent: number;
	seed: number;
};

/** Exponent of the power law of the popularity of shared parts. */
const POPULARITY_EXPONENT = 0.7;

/** Number of turns of each sub-agent. */
const SUB_AGENT_TURNS = 2;

const drawLogNormal = (
	{mean, deviation, maximum}: LogNormal,
	draws: RandomDraws,
): number => {
	const median = mean * Math.exp(-(deviation ** 2) / 2);
	return Math.min(maximum, draws.logNormal(median, deviation));
};

/** Computes the weights of the shared parts of a kind, most popular first. */
export const computePopularity = (count: number): number[] => {
	const weights = Array.from(
		{length: count},
		(_, index) => (index + 1) ** -POPULARITY_EXPONENT,
	);
	const sum = weights.reduce((total, weight) => total + weight, 0);
	return weights.map((weight) => weight / sum);
};

const findBurstFactor = (
	bursts: SiteTraffic['bursts'],
	nowMs: number,
): number =>
	bursts.find(({fromMs, forMs}) => nowMs >= fromMs && nowMs < fromMs + forMs)
		?.factor ?? 1;

class SiteProgramGenerator {
	readonly #traffic: SiteTraffic;
	readonly #draws: RandomDraws;
	readonly #sharedTokens = new Map<string, number>();

	constructor(traffic: SiteTraffic) {
		this.#traffic = traffic;
		this.#draws = new RandomDraws(traffic.seed);
	}

	generate(): SiteProgram[] {
		const programs: SiteProgram[] = [];
		const {programsPerS, durationMs, bursts} = this.#traffic;
		let arrivalMs = 0;
		for (;;) {
			const rate = (programsPerS * findBurstFactor(bursts, arrivalMs)) / 1000;
			arrivalMs += this.#draws.exponential(1 / rate);
			if (arrivalMs >= durationMs) {
				return programs;
			}

			programs.push(this.#drawProgram(`p${programs.length}`, arrivalMs));
		}
	}

	#drawProgram(id: string, arrivalMs: number): SiteProgram {
		const kind = this.#draws.choose(this.#traffic.kinds, ({share}) => share);
		const turnCount = Math.max(
			1,
			Math.round(drawLogNormal(kind.turns, this.#draws)),
		);
		return {
			id,
			kind,
			arrivalMs,
			shared: this.#drawSharedPart(kind),
			turns: Array.from({length: turnCount}, () => this.#drawTurn(kind, true)),
			worth: kind.worth,
		};
	}

	#drawSharedPart(kind: SiteProgramKind): {id: string; tokens: number} {
		const weights = computePopularity(kind.sharedParts);
		const indexes = weights.map((_, index) => index);
		const index = this.#draws.choose(indexes, (item) => weights[item]!);
		const id = `${kind.name}-${index}`;
		const tokens =
			this.#sharedTokens.get(id) ??
			drawLogNormal(kind.sharedTokens, this.#draws);
		this.#sharedTokens.set(id, tokens);
		return {id, tokens};
	}

	#drawTurn(kind: SiteProgramKind, allowsSubAgents: boolean): SiteTurn {
		const draws = this.#draws;
		const events = Math.max(1, Math.round(drawLogNormal(kind.events, draws)));
		const hasSubAgents = allowsSubAgents && draws.next() < kind.subAgentShare;
		const toolMs =
			draws.next() < kind.toolShare ? drawLogNormal(kind.toolMs, draws) : 0;
		return {
			inputTokens: drawLogNormal(kind.promptTokens, draws),
			outputTokens: events * this.#traffic.tokensPerEvent,
			pauseMs: drawLogNormal(kind.pauseMs, draws) + toolMs,
			subAgents: hasSubAgents
				? Array.from(
						{
							length: Math.max(
								1,
								Math.round(drawLogNormal(kind.subAgents, draws)),
							),
						},
						() =>
							Array.from({length: SUB_AGENT_TURNS}, () =>
								this.#drawTurn(kind, false),
							),
					)
				: [],
		};
	}
}

/**
 * Draws the programs of a run. Equal traffic gives equal programs, so that all policies see the same workload.
 *
 * @example
 * ```ts
 * const programs = drawSitePrograms({...scenario.traffic, seed: 1});
 * ```
 */
export const drawSitePrograms = (traffic: SiteTraffic): SiteProgram[] =>
	new SiteProgramGenerator(traffic).generate();
