import {RandomDraws} from '../random-draws.ts';
import {VirtualClock} from '../virtual-clock.ts';
import {SiteEngine} from './site-engine.ts';
import type {SitePolicy, SiteRequest} from './site-policy.ts';
import type {SiteScenario} from './site-scenarios.ts';
import {
	drawSitePrograms,
	type SiteProgram,
	type SiteTurn,
} from './site-workload.ts';

/** Time from receiving a turn until its budget is reserved and its chain is read. */
const PREPARATION_MS = 8;

/** Interval at which entry daemons exchange loads with the relay of their zone, and relays with each other. */
const EXCHANGE_MS = 100;

/** Metrics of one run. */
export type SiteMetrics = {
	programs: number;
	/** Earned worth divided by the total worth of all programs. */
	worth: number;
	/** Share of the programs that finished within their target latency. */
	inAimShare: number;
	/** Prompt tokens that were prefilled, in millions. */
	readMillionTokens: number;
	/** Mean ratio of the time of a turn to its time on an idle engine. */
	turnSlowdown: number;
	turns: number;
};

type Conversation = {
	program: SiteProgram;
	/** Prompt parts before the part of this conversation. */
	precedingParts: Array<{id: string; tokens: number}>;
	partId: string;
	partTokens: number;
};

/** Simulates the programs of a site on its engines, with one policy for all entry daemons. */
class SiteSimulation {
	readonly #scenario: SiteScenario;
	readonly #clock = new VirtualClock();
	readonly #draws: RandomDraws;
	readonly #engines: SiteEngine[];
	readonly #policy: SitePolicy;
	readonly #lastEngine = new Map<
		string,
		{engine: number; contextTokens: number}
	>();

	#endedPrograms = 0;
	#earnedWorth = 0;
	#totalWorth = 0;
	#finishedInTarget = 0;
	#turns = 0;
	#slowdownSum = 0;
	#requests = 0;

	constructor(scenario: SiteScenario, policy: SitePolicy, seed: number) {
		this.#scenario = scenario;
		this.#policy = policy;
		this.#draws = new RandomDraws(seed + 1000);
		this.#engines = Array.from(
			{length: scenario.engines},
			() => new SiteEngine(this.#clock, scenario.model),
		);
	}

	run(programs: readonly SiteProgram[]): SiteMetrics {
		for (const program of programs) {
			this.#clock.after(program.arrivalMs, () => {
				this.#start(program);
			});
		}

		for (let entry = 0; entry < this.#scenario.entries; entry++) {
			this.#scheduleExchange(entry, this.#draws.next() * EXCHANGE_MS);
		}

		this.#scheduleRelayExchange();
		this.#clock.run(() => this.#endedPrograms === programs.length);
		return {
			programs: programs.length,
			worth: this.#earnedWorth / this.#totalWorth,
			inAimShare: this.#finishedInTarget / programs.length,
			readMillionTokens: this.#sumPrefilledTokens() / 1_000_000,
			turnSlowdown: this.#slowdownSum / this.#turns,
			turns: this.#turns,
		};
	}

	#sumPrefilledTokens(): number {
		let sumTokens = 0;
		for (const {prefilledTokens} of this.#engines) {
			sumTokens += prefilledTokens;
		}

		return sumTokens;
	}

	#scheduleExchange(entry: number, delayMs: number): void {
		this.#clock.after(delayMs, () => {
			this.#policy.exchangeLoads(entry, this.#clock.nowMs);
			this.#scheduleExchange(entry, EXCHANGE_MS);
		});
	}

	#scheduleRelayExchange(): void {
		this.#clock.after(EXCHANGE_MS, () => {
			this.#policy.exchangeBetweenRelays(this.#clock.nowMs);
			this.#scheduleRelayExchange();
		});
	}

	#start(program: SiteProgram): void {
		const {kind} = program;
		const conversation: Conversation = {
			program,
			precedingParts: [program.shared],
			partId: program.id,
			partTokens: 0,
		};
		const startedAtMs = this.#clock.nowMs;
		const idleMs = this.#computeIdleMs(program.turns, kind.roundTripMs);
		const targetLatencyMs =
			idleMs * kind.targetLatencyFactor + kind.targetLatencyExtraMs;
		// Worth grows with the size of a program, as the site descriptions specify.
		const worthFactor = Math.min(
			4,
			0.3 + (0.7 * idleMs) / this.#computeMeanIdleMs(program),
		);
		this.#totalWorth += program.worth * worthFactor;
		this.#runTurns(conversation, program.turns, 0, () => {
			const latencyMs = this.#clock.nowMs - startedAtMs;
			this.#endedPrograms++;
			if (latencyMs <= targetLatencyMs) {
				this.#finishedInTarget++;
				this.#earnedWorth += program.worth * worthFactor;
			} else if (latencyMs <= 2 * targetLatencyMs) {
				this.#earnedWorth += kind.lateWorth * worthFactor;
			}
		});
	}

	#computeMeanIdleMs({kind}: SiteProgram): number {
		return kind.turns.mean * (kind.roundTripMs + kind.pauseMs.mean + 200);
	}

	/** Computes the time of turns on idle engines that have everything before the new input cached. */
	#computeIdleMs(turns: readonly SiteTurn[], roundTripMs: number): number {
		let idleMs = 0;
		for (const [index, turn] of turns.entries()) {
			const subMs = turn.subAgents.map((sub) =>
				this.#computeIdleMs(sub, roundTripMs),
			);
			const pauseMs = index === turns.length - 1 ? 0 : turn.pauseMs;
			idleMs +=
				roundTripMs +
				this.#computeTurnMs(turn) +
				Math.max(0, ...subMs) +
				pauseMs;
		}

		return idleMs;
	}

	#computeTurnMs({inputTokens, outputTokens}: SiteTurn): number {
		const {model} = this.#scenario;
		return (
			model.admissionMs +
			inputTokens / model.prefillTokensPerMs +
			outputTokens * (model.stepMs + model.stepPerRequestMs)
		);
	}

	#runTurns(
		conversation: Conversation,
		turns: readonly SiteTurn[],
		index: number,
		onEnd: () => void,
	): void {
		const turn = turns[index];
		if (!turn) {
			onEnd();
			return;
		}

		this.#runTurn(conversation, turn, () => {
			const runNextTurn = () => {
				const isLast = index === turns.length - 1;
				this.#clock.after(isLast ? 0 : turn.pauseMs, () => {
					this.#runTurns(conversation, turns, index + 1, onEnd);
				});
			};

			this.#runSubAgents(conversation, turn, runNextTurn);
		});
	}

	#runSubAgents(
		conversation: Conversation,
		{subAgents}: SiteTurn,
		onEnd: () => void,
	): void {
		const running = new Set(subAgents);
		if (running.size === 0) {
			onEnd();
			return;
		}

		const precedingParts = [
			...conversation.precedingParts,
			{id: conversation.partId, tokens: conversation.partTokens},
		];
		for (const [index, turns] of subAgents.entries()) {
			const sub: Conversation = {
				program: conversation.program,
				precedingParts,
				partId: `${conversation.partId}/${conversation.partTokens}-${index}`,
				partTokens: 0,
			};
			this.#runTurns(sub, turns, 0, () => {
				running.delete(turns);
				if (running.size === 0) {
					onEnd();
				}
			});
		}
	}

	#runTurn(
		conversation: Conversation,
		turn: SiteTurn,
		onEnd: () => void,
	): void {
		const {program} = conversation;
		const {entries} = this.#scenario;
		const entry = Math.floor(this.#draws.next() * entries);
		const startedAtMs = this.#clock.nowMs;
		conversation.partTokens += turn.inputTokens;
		const parts = [
			...conversation.precedingParts,
			{id: conversation.partId, tokens: conversation.partTokens},
		];
		this.#clock.after(program.kind.roundTripMs / 2 + PREPARATION_MS, () => {
			const last = this.#lastEngine.get(program.id);
			this.#requests++;
			const request: SiteRequest = {
				number: this.#requests,
				programId: program.id,
				parts,
				last,
			};
			const engine = this.#policy.choose(entry, request, this.#clock.nowMs);
			this.#engines[engine]!.submit({
				parts,
				outputTokens: turn.outputTokens,
				onFirstToken() {
					// Only complete turns are measured.
				},
				onDone: () => {
					this.#policy.recordEnd(entry, engine);
					conversation.partTokens += turn.outputTokens;
					this.#lastEngine.set(program.id, {
						engine,
						contextTokens:
							parts.reduce((sum, {tokens}) => sum + tokens, 0) +
							turn.outputTokens,
					});
					this.#turns++;
					this.#slowdownSum +=
						(this.#clock.nowMs - startedAtMs) /
						(this.#computeTurnMs(turn) +
							program.kind.roundTripMs / 2 +
							PREPARATION_MS);
					onEnd();
				},
			});
		});
	}
}

/**
 * Simulates the traffic of a site with one policy.
 *
 * @example
 * ```ts
 * const metrics = runSite(SITE_SCENARIOS[0]!, new RoundRobinSitePolicy(SITE_SCENARIOS[0]!), 1);
 * ```
 */
export const runSite = (
	scenario: SiteScenario,
	policy: SitePolicy,
	seed: number,
): SiteMetrics =>
	new SiteSimulation(scenario, policy, seed).run(
		drawSitePrograms({...scenario.traffic, seed}),
	);
