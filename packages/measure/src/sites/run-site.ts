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

/** Time from the receipt of a turn until its budget is reserved and its chain is read. */
const PREPARE_MS = 8;

/** Interval at which entry daemons exchange loads, and the relays of the zones theirs. */
const EXCHANGE_MS = 100;

/** Figures of one run. */
export type SiteFigures = {
	programs: number;
	/** Share of the worth that was earned. */
	worth: number;
	/** Share of the programs that ended within their aim. */
	inAimShare: number;
	/** Prompt tokens that were read, in millions. */
	readMillionTokens: number;
	/** Mean time of a turn over its time on an idle engine. */
	turnSlowdown: number;
	turns: number;
};

type Line = {
	program: SiteProgram;
	/** Parts before this line's own one. */
	parents: Array<{id: string; tokens: number}>;
	partId: string;
	partTokens: number;
};

/** Plays the programs of a site against its engines with one policy for all entry daemons. */
class SiteRun {
	readonly #scenario: SiteScenario;
	readonly #clock = new VirtualClock();
	readonly #draws: RandomDraws;
	readonly #engines: SiteEngine[];
	readonly #policy: SitePolicy;
	readonly #lastEngine = new Map<
		string,
		{engine: number; contextTokens: number}
	>();

	#ended = 0;
	#earned = 0;
	#owed = 0;
	#inAim = 0;
	#turns = 0;
	#slowdown = 0;
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

	play(programs: readonly SiteProgram[]): SiteFigures {
		for (const program of programs) {
			this.#clock.after(program.arrivalMs, () => {
				this.#start(program);
			});
		}

		for (let entry = 0; entry < this.#scenario.entries; entry++) {
			this.#scheduleExchange(entry, this.#draws.next() * EXCHANGE_MS);
		}

		this.#scheduleShare();
		this.#clock.run(() => this.#ended === programs.length);
		return {
			programs: programs.length,
			worth: this.#earned / this.#owed,
			inAimShare: this.#inAim / programs.length,
			readMillionTokens: this.#sumReadTokens() / 1_000_000,
			turnSlowdown: this.#slowdown / this.#turns,
			turns: this.#turns,
		};
	}

	#sumReadTokens(): number {
		let sumTokens = 0;
		for (const {readTokens} of this.#engines) {
			sumTokens += readTokens;
		}

		return sumTokens;
	}

	#scheduleExchange(entry: number, delayMs: number): void {
		this.#clock.after(delayMs, () => {
			this.#policy.exchange(entry, this.#clock.nowMs);
			this.#scheduleExchange(entry, EXCHANGE_MS);
		});
	}

	#scheduleShare(): void {
		this.#clock.after(EXCHANGE_MS, () => {
			this.#policy.share(this.#clock.nowMs);
			this.#scheduleShare();
		});
	}

	#start(program: SiteProgram): void {
		const {kind} = program;
		const line: Line = {
			program,
			parents: [program.shared],
			partId: program.id,
			partTokens: 0,
		};
		const startedAtMs = this.#clock.nowMs;
		const idleMs = this.#idleMs(program.turns, kind.wayMs);
		const aimMs = idleMs * kind.aimFactor + kind.aimExtraMs;
		// Larger programs are worth more, as the sites count them.
		const size = Math.min(4, 0.3 + (0.7 * idleMs) / this.#meanIdleMs(program));
		this.#owed += program.worth * size;
		this.#runTurns(line, program.turns, 0, () => {
			const tookMs = this.#clock.nowMs - startedAtMs;
			this.#ended++;
			if (tookMs <= aimMs) {
				this.#inAim++;
				this.#earned += program.worth * size;
			} else if (tookMs <= 2 * aimMs) {
				this.#earned += kind.lateWorth * size;
			}
		});
	}

	#meanIdleMs({kind}: SiteProgram): number {
		return kind.turns.mean * (kind.wayMs + kind.pauseMs.mean + 200);
	}

	/** Time of turns on idle engines that keep everything before their new input. */
	#idleMs(turns: readonly SiteTurn[], wayMs: number): number {
		let idleMs = 0;
		for (const [index, turn] of turns.entries()) {
			const subMs = turn.subAgents.map((sub) => this.#idleMs(sub, wayMs));
			const pauseMs = index === turns.length - 1 ? 0 : turn.pauseMs;
			idleMs += wayMs + this.#turnMs(turn) + Math.max(0, ...subMs) + pauseMs;
		}

		return idleMs;
	}

	#turnMs({inputTokens, outputTokens}: SiteTurn): number {
		const {model} = this.#scenario;
		return (
			model.firstMs +
			inputTokens / model.prefillTokensPerMs +
			outputTokens * (model.stepMs + model.stepPerRequestMs)
		);
	}

	#runTurns(
		line: Line,
		turns: readonly SiteTurn[],
		index: number,
		onEnd: () => void,
	): void {
		const turn = turns[index];
		if (!turn) {
			onEnd();
			return;
		}

		this.#runTurn(line, turn, () => {
			const goOn = () => {
				const isLast = index === turns.length - 1;
				this.#clock.after(isLast ? 0 : turn.pauseMs, () => {
					this.#runTurns(line, turns, index + 1, onEnd);
				});
			};

			this.#runSubAgents(line, turn, goOn);
		});
	}

	#runSubAgents(line: Line, {subAgents}: SiteTurn, onEnd: () => void): void {
		const running = new Set(subAgents);
		if (running.size === 0) {
			onEnd();
			return;
		}

		const parents = [
			...line.parents,
			{id: line.partId, tokens: line.partTokens},
		];
		for (const [index, turns] of subAgents.entries()) {
			const sub: Line = {
				program: line.program,
				parents,
				partId: `${line.partId}/${line.partTokens}-${index}`,
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

	#runTurn(line: Line, turn: SiteTurn, onEnd: () => void): void {
		const {program} = line;
		const {entries} = this.#scenario;
		const entry = Math.floor(this.#draws.next() * entries);
		const startedAtMs = this.#clock.nowMs;
		line.partTokens += turn.inputTokens;
		const parts = [...line.parents, {id: line.partId, tokens: line.partTokens}];
		this.#clock.after(program.kind.wayMs / 2 + PREPARE_MS, () => {
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
					// Only whole turns count here.
				},
				onDone: () => {
					this.#policy.noteDone(entry, engine);
					line.partTokens += turn.outputTokens;
					this.#lastEngine.set(program.id, {
						engine,
						contextTokens:
							parts.reduce((sum, {tokens}) => sum + tokens, 0) +
							turn.outputTokens,
					});
					this.#turns++;
					this.#slowdown +=
						(this.#clock.nowMs - startedAtMs) /
						(this.#turnMs(turn) + program.kind.wayMs / 2 + PREPARE_MS);
					onEnd();
				},
			});
		});
	}
}

/**
 * Plays one day of a site with one policy.
 *
 * @example
 * ```ts
 * const figures = runSite(SITE_SCENARIOS[0]!, new RoundRobin(13), 1);
 * ```
 */
export const runSite = (
	scenario: SiteScenario,
	policy: SitePolicy,
	seed: number,
): SiteFigures =>
	new SiteRun(scenario, policy, seed).play(
		drawSitePrograms({...scenario.traffic, seed}),
	);
