import {asId, type CallerId, type ProgramId} from '@marjoramcove/types';
import type {ArrivingCall} from './index.ts';

/** Answer to a call of the play. */
export type CallResult =
	{type: 'served'} | {type: 'refused'; retryAfterMs: number};

/** Virtual time: runs events in the order of their times. */
export class VirtualClock {
	nowMs = 0;
	readonly #events = new Map<number, Array<() => void>>();
	readonly #timesMs: number[] = [];

	at(timeMs: number, run: () => void): void {
		const time = Math.max(this.nowMs, Math.ceil(timeMs));
		const events = this.#events.get(time);
		if (events) {
			events.push(run);
			return;
		}

		this.#events.set(time, [run]);
		this.#push(time);
	}

	run(): void {
		while (this.#timesMs.length > 0) {
			const time = this.#pop();
			this.nowMs = time;
			const events = this.#events.get(time)!;
			for (const run of events) {
				run();
			}

			this.#events.delete(time);
		}
	}

	#push(time: number): void {
		const heap = this.#timesMs;
		let index = heap.push(time) - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (heap[parent]! <= time) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = time;
	}

	#pop(): number {
		const heap = this.#timesMs;
		const top = heap[0]!;
		const last = heap.pop()!;
		let index = 0;
		for (;;) {
			let child = index * 2 + 1;
			if (child >= heap.length) {
				break;
			}

			if (child + 1 < heap.length && heap[child + 1]! < heap[child]!) {
				child++;
			}

			if (heap[child]! >= last) {
				break;
			}

			heap[index] = heap[child]!;
			index = child;
		}

		if (heap.length > 0) {
			heap[index] = last;
		}

		return top;
	}
}

const RANDOM_FACTOR = 48_271;
const RANDOM_MODULUS = 2_147_483_647;

/** Deterministic random numbers (minimal standard generator). */
export const createRandom = (seed: number) => {
	// Seeds that are close to each other give similar first numbers, so that some are left out.
	let state = ((seed + 1) * 69_621) % RANDOM_MODULUS;
	const next = (): number => {
		state = (state * RANDOM_FACTOR) % RANDOM_MODULUS;
		return (state - 1) / (RANDOM_MODULUS - 1);
	};

	next();
	next();
	return next;
};

/** Programs of one kind. */
export type ProgramKind = {
	routeName: string;
	/** Share among the programs. */
	weight: number;
	turns: number;
	toolCallsPerTurn: number;
	promptTokens: number;
	turnMs: number;
	toolMs: number;
	/** Time in which the program should end, as a factor on the time that it takes without waiting. */
	timeFactor: number;
};

/** Callers of one team. */
export type TeamLoad = {name: string; programsPerS: number; priority: number};

/** A load: its programs, and how demand and capacity change in the loaded time. */
export type Play = {
	kinds: ProgramKind[];
	teams: TeamLoad[];
	engines: number;
	toolServers: number;
	/** Factor on the arrivals of a team and kind during the loaded time. */
	factorOf?: (team: TeamLoad, kind: ProgramKind) => number;
	/** Share of the engines that is lost during the loaded time. */
	lostEngineShare?: number;
};

/** Start and end of the loaded time, and of all arrivals. */
export const LOADED_FROM_MS = 10_000;
export const LOADED_UNTIL_MS = 40_000;
export const ARRIVALS_UNTIL_MS = 50_000;

/** Longest time for which a caller waits for one call. */
const CALL_TIMEOUT_MS = 8000;

/** Time to the first event that callers of turns expect, and latency that callers of tools expect. */
const TURN_TARGET_MS = 2000;
const TOOL_TARGET_MS = 1000;

/** Share of the time left up to which a caller waits to send a refused call again. */
const RETRY_WAIT_SHARE = 1 / 3;

/** Retries of a refused turn and of a refused tool call. */
const TURN_RETRIES = 2;
const TOOL_RETRIES = 1;

/** A call with the time that it takes at a server, which policies must not read. */
export type PlayCall = {call: ArrivingCall; service: string; serviceMs: number};

/** What runs the calls of the play. */
export abstract class PlayPolicy {
	/** Serves or refuses a call; the caller may leave by the returned function. */
	abstract submit(
		call: PlayCall,
		onResult: (result: CallResult) => void,
	): () => void;
}

export type ProgramOutcome = {
	team: TeamLoad;
	kind: ProgramKind;
	startedAtMs: number;
	isInTime: boolean;
	isUseful: boolean;
};

export type PlayRecord = {
	programs: ProgramOutcome[];
	/** Time from arrival to each refusal, with the target latency of the call. */
	refusals: Array<{waitedMs: number; targetLatencyMs: number}>;
};

/** Callers whose programs follow the rules of the platform. */
export class PlayCallers {
	readonly record: PlayRecord = {programs: [], refusals: []};
	readonly #clock: VirtualClock;
	readonly #policy: PlayPolicy;
	readonly #seed: number;
	readonly #random: () => number;
	#nextId = 0;

	constructor(clock: VirtualClock, policy: PlayPolicy, seed: number) {
		this.#clock = clock;
		this.#policy = policy;
		this.#seed = seed;
		this.#random = createRandom(seed);
	}

	scheduleArrivals({teams, kinds, factorOf = () => 1}: Play): void {
		const totalWeight = kinds.reduce((sum, {weight}) => sum + weight, 0);
		for (const team of teams) {
			for (const kind of kinds) {
				const rate = (team.programsPerS * kind.weight) / totalWeight / 1000;
				this.#scheduleProgram(team, kind, 0, (nowMs) =>
					nowMs >= LOADED_FROM_MS && nowMs < LOADED_UNTIL_MS
						? rate * factorOf(team, kind)
						: rate,
				);
			}
		}
	}

	#scheduleProgram(
		team: TeamLoad,
		kind: ProgramKind,
		fromMs: number,
		rateAt: (nowMs: number) => number,
	): void {
		const intervalMs = -Math.log(1 - this.#random()) / rateAt(fromMs);
		// The rate changes at these times, so that an interval across one is drawn anew from there.
		const nextChangeMs = [LOADED_FROM_MS, LOADED_UNTIL_MS].find(
			(changeMs) => changeMs > fromMs,
		);
		const atMs = fromMs + intervalMs;
		if (nextChangeMs !== undefined && atMs > nextChangeMs) {
			this.#scheduleProgram(team, kind, nextChangeMs, rateAt);
		} else if (atMs < ARRIVALS_UNTIL_MS) {
			this.#clock.at(atMs, () => {
				this.#runProgram(team, kind);
				this.#scheduleProgram(team, kind, atMs, rateAt);
			});
		}
	}

	#runProgram(team: TeamLoad, kind: ProgramKind): void {
		const startedAtMs = this.#clock.nowMs;
		const needMs =
			kind.turns * kind.turnMs +
			(kind.turns - 1) * kind.toolCallsPerTurn * kind.toolMs;
		const timeMs = needMs * kind.timeFactor;
		const id = this.#nextId++;
		const program: RunningProgram = {
			team,
			kind,
			programId: asId<ProgramId>(`p0-${id}`),
			// Of its own, so that a program is the same under each policy.
			random: createRandom(this.#seed + 7919 * (id + 1)),
			callCount: 0,
			dueAtMs: startedAtMs + timeMs,
			uselessAtMs: startedAtMs + 2 * timeMs,
		};
		this.#runTurn(program, 1, (isDone) => {
			this.record.programs.push({
				team,
				kind,
				startedAtMs,
				isInTime: isDone && this.#clock.nowMs <= program.dueAtMs,
				isUseful: isDone && this.#clock.nowMs <= program.uselessAtMs,
			});
		});
	}

	#runTurn(
		program: RunningProgram,
		turn: number,
		onEnd: (isDone: boolean) => void,
	): void {
		const {kind} = program;
		this.#runCall(program, {isTurn: true, turn}, TURN_RETRIES, (isServed) => {
			if (!isServed || turn === kind.turns) {
				onEnd(isServed);
				return;
			}

			this.#runTools(program, turn, kind.toolCallsPerTurn, (areServed) => {
				if (areServed) {
					this.#runTurn(program, turn + 1, onEnd);
				} else {
					onEnd(false);
				}
			});
		});
	}

	#runTools(
		program: RunningProgram,
		turn: number,
		count: number,
		onEnd: (areServed: boolean) => void,
	): void {
		if (count === 0) {
			onEnd(true);
			return;
		}

		this.#runCall(program, {isTurn: false, turn}, TOOL_RETRIES, (isServed) => {
			if (isServed) {
				this.#runTools(program, turn, count - 1, onEnd);
			} else {
				onEnd(false);
			}
		});
	}

	#runCall(
		program: RunningProgram,
		position: {isTurn: boolean; turn: number},
		retries: number,
		onEnd: (isServed: boolean) => void,
	): void {
		const {nowMs} = this.#clock;
		const call = this.#createCall(program, position);
		let isOver = false;
		const leave = this.#policy.submit(call, (result) => {
			if (isOver) {
				return;
			}

			isOver = true;
			if (result.type === 'served') {
				onEnd(true);
				return;
			}

			const {targetLatencyMs} = call.call;
			const waitedMs = this.#clock.nowMs - nowMs;
			this.record.refusals.push({waitedMs, targetLatencyMs});
			const leftMs = program.uselessAtMs - this.#clock.nowMs;
			if (retries === 0 || leftMs <= 0) {
				onEnd(false);
				return;
			}

			const delayMs = Math.min(result.retryAfterMs, leftMs * RETRY_WAIT_SHARE);
			this.#clock.at(this.#clock.nowMs + delayMs, () => {
				this.#runCall(program, position, retries - 1, onEnd);
			});
		});
		this.#clock.at(call.call.deadlineMs, () => {
			if (!isOver) {
				isOver = true;
				leave();
				onEnd(false);
			}
		});
	}

	#createCall(
		program: RunningProgram,
		{isTurn, turn}: {isTurn: boolean; turn: number},
	): PlayCall {
		const {kind, team, programId, dueAtMs, uselessAtMs, random} = program;
		const spread = 0.5 + random();
		return {
			service: isTurn ? 'engine' : 'tool',
			serviceMs: (isTurn ? kind.turnMs : kind.toolMs) * spread,
			call: {
				service: isTurn ? 'engine' : 'tool',
				routeName: isTurn ? kind.routeName : 'tool',
				requestId: `${programId}-${program.callCount++}`,
				programId,
				callerId: asId<CallerId>(team.name),
				isTurn,
				isFirstTurn: isTurn && turn === 1,
				promptTokens: isTurn ? kind.promptTokens : 0,
				priorMs: isTurn ? TURN_TARGET_MS / 2 : TOOL_TARGET_MS / 2,
				priority: team.priority,
				deadlineMs: Math.min(this.#clock.nowMs + CALL_TIMEOUT_MS, uselessAtMs),
				// Only turns state the time that the program has left.
				programDeadlineMs: isTurn ? dueAtMs : undefined,
				targetLatencyMs: isTurn ? TURN_TARGET_MS : TOOL_TARGET_MS,
				isRetry: false,
			},
		};
	}
}

type RunningProgram = {
	team: TeamLoad;
	kind: ProgramKind;
	programId: ProgramId;
	dueAtMs: number;
	uselessAtMs: number;
	random: () => number;
	callCount: number;
};
