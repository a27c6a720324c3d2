import {RandomDraws} from '../random-draws.ts';

/** A log-normal distribution by its mean, cut off at a maximum. */
export type Spread = {mean: number; deviation: number; maximum: number};

/** A kind of program as the sheet of a site describes it. */
export type SiteProgramKind = {
	name: string;
	share: number;
	worth: number;
	lateWorth: number;
	/** Multiple of the time on idle servers within which a program must end, and what is added. */
	aimFactor: number;
	aimExtraMs: number;
	/** Time that the sheet allows for the way of each turn. */
	wayMs: number;
	turns: Spread;
	pauseMs: Spread;
	promptTokens: Spread;
	events: Spread;
	/** Shared first parts of the prompts, more and less popular ones. */
	sharedParts: number;
	sharedTokens: Spread;
	/** Probability that a turn starts sub-agents, of two turns each. */
	subAgentShare: number;
	subAgents: Spread;
	/** Longest tool of a pause; the tools run beside each other. */
	toolMs: Spread;
	toolShare: number;
};

export type SiteTurn = {
	inputTokens: number;
	outputTokens: number;
	/** Pause and tools after the turn, in milliseconds. */
	pauseMs: number;
	subAgents: SiteTurn[][];
};

export type SiteProgram = {
	id: string;
	kind: SiteProgramKind;
	arrivalMs: number;
	shared: {id: string; tokens: number};
	turns: SiteTurn[];
	/** Worth by its size, as the sites count it. */
	worth: number;
};

export type SiteTraffic = {
	kinds: readonly SiteProgramKind[];
	programsPerS: number;
	durationMs: number;
	/** Traffic is multiplied while a burst lasts. */
	bursts: ReadonlyArray<{fromMs: number; forMs: number; factor: number}>;
	tokensPerEvent: number;
	seed: number;
};

/** Exponent of the popularity of shared parts. */
const POPULARITY_EXPONENT = 0.7;

/** Turns of each sub-agent. */
const SUB_AGENT_TURNS = 2;

const drawSpread = (
	{mean, deviation, maximum}: Spread,
	draws: RandomDraws,
): number => {
	const median = mean * Math.exp(-(deviation ** 2) / 2);
	return Math.min(maximum, draws.logNormal(median, deviation));
};

/** Weights of the shared parts of a kind, the most popular first. */
export const readPopularity = (count: number): number[] => {
	const weights = Array.from(
		{length: count},
		(_, index) => (index + 1) ** -POPULARITY_EXPONENT,
	);
	const sum = weights.reduce((total, weight) => total + weight, 0);
	return weights.map((weight) => weight / sum);
};

const readBurstFactor = (
	bursts: SiteTraffic['bursts'],
	nowMs: number,
): number =>
	bursts.find(({fromMs, forMs}) => nowMs >= fromMs && nowMs < fromMs + forMs)
		?.factor ?? 1;

class ProgramDraws {
	readonly #traffic: SiteTraffic;
	readonly #draws: RandomDraws;
	readonly #sharedTokens = new Map<string, number>();

	constructor(traffic: SiteTraffic) {
		this.#traffic = traffic;
		this.#draws = new RandomDraws(traffic.seed);
	}

	all(): SiteProgram[] {
		const programs: SiteProgram[] = [];
		const {programsPerS, durationMs, bursts} = this.#traffic;
		let atMs = 0;
		for (;;) {
			const rate = (programsPerS * readBurstFactor(bursts, atMs)) / 1000;
			atMs += this.#draws.exponential(1 / rate);
			if (atMs >= durationMs) {
				return programs;
			}

			programs.push(this.#program(`p${programs.length}`, atMs));
		}
	}

	#program(id: string, arrivalMs: number): SiteProgram {
		const kind = this.#draws.choose(this.#traffic.kinds, ({share}) => share);
		const turnCount = Math.max(
			1,
			Math.round(drawSpread(kind.turns, this.#draws)),
		);
		return {
			id,
			kind,
			arrivalMs,
			shared: this.#sharedPart(kind),
			turns: Array.from({length: turnCount}, () => this.#turn(kind, true)),
			worth: kind.worth,
		};
	}

	#sharedPart(kind: SiteProgramKind): {id: string; tokens: number} {
		const weights = readPopularity(kind.sharedParts);
		const indexes = weights.map((_, index) => index);
		const index = this.#draws.choose(indexes, (item) => weights[item]!);
		const id = `${kind.name}-${index}`;
		const tokens =
			this.#sharedTokens.get(id) ?? drawSpread(kind.sharedTokens, this.#draws);
		this.#sharedTokens.set(id, tokens);
		return {id, tokens};
	}

	#turn(kind: SiteProgramKind, mayFan: boolean): SiteTurn {
		const draws = this.#draws;
		const events = Math.max(1, Math.round(drawSpread(kind.events, draws)));
		const hasSubAgents = mayFan && draws.next() < kind.subAgentShare;
		const toolMs =
			draws.next() < kind.toolShare ? drawSpread(kind.toolMs, draws) : 0;
		return {
			inputTokens: drawSpread(kind.promptTokens, draws),
			outputTokens: events * this.#traffic.tokensPerEvent,
			pauseMs: drawSpread(kind.pauseMs, draws) + toolMs,
			subAgents: hasSubAgents
				? Array.from(
						{
							length: Math.max(
								1,
								Math.round(drawSpread(kind.subAgents, draws)),
							),
						},
						() =>
							Array.from({length: SUB_AGENT_TURNS}, () =>
								this.#turn(kind, false),
							),
					)
				: [],
		};
	}
}

/**
 * Draws the programs of a run; the same traffic gives the same programs for every policy.
 *
 * @example
 * ```ts
 * const programs = drawSitePrograms({...PIATO_GROWN.traffic, seed: 1});
 * ```
 */
export const drawSitePrograms = (traffic: SiteTraffic): SiteProgram[] =>
	new ProgramDraws(traffic).all();
