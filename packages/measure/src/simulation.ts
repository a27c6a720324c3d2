import {assertInvariant} from '@marjoramcove/errors';
import type {FleetLoad, QueuedCall} from '@marjoramcove/scheduler';
import {asId, type CallerId, type ProgramId} from '@marjoramcove/types';
import {computeStepMs} from './engine-model.ts';
import {Fleet, type FleetOptions, REPORT_INTERVAL_MS} from './fleet.ts';
import type {SimCall} from './sim-call.ts';
import type {VirtualClock} from './virtual-clock.ts';
import type {Chain, ProgramPlan, Turn} from './workload.ts';

/** How a program ended. */
export type ProgramRecord = {
	plan: ProgramPlan;
	finishedAtMs?: number;
	refusedReason?: string;
};

/** One finished call, for metrics over time. */
export type CallRecord = {
	issuedAtMs: number;
	finishedAtMs: number;
	/** Latency divided by the latency on an idle engine that has the prefix cached. */
	slowdown: number;
};

export type RunRecord = {
	programs: ProgramRecord[];
	calls: CallRecord[];
	promptTokens: number;
	/** History tokens that were prefilled again because they were not cached. */
	wastedTokens: number;
	unusedCacheTokenSeconds: number;
	endedAtMs: number;
};

type RunningProgram = {
	plan: ProgramPlan;
	record: ProgramRecord;
	callerId: CallerId;
	programId: ProgramId;
	attainedTokens: number;
	/** History tokens of all chains of the program, for the memory estimate. */
	liveTokens: number;
};

type ChainRun = {
	program: RunningProgram;
	chain: Chain;
	chainKey: string;
	turn: number;
	historyTokens: number;
	onDone: () => void;
};

/** Describes a call with the data that the scheduler of a daemon has. */
const describeCall = (
	{program, chainKey, turn}: ChainRun,
	promptTokens: number,
	issuedAtMs: number,
): QueuedCall => {
	const {plan, programId, callerId, attainedTokens} = program;
	return {
		programId,
		callerId,
		requestId: `${chainKey}/${turn}`,
		queuedAtMs: issuedAtMs,
		deadlineMs: Number.isFinite(plan.deadlineMs) ? plan.deadlineMs : undefined,
		attainedTokens,
		promptTokens,
		cachedTokens: 0,
		expectedCompletionTokens: plan.agent.completionTokens,
		turn,
		priority: 0,
		programStartedAtMs: plan.arrivalMs,
	};
};

/** Simulates the programs of a workload on a fleet; each call of a chain starts after the previous one. */
export class Simulation {
	readonly #clock: VirtualClock;
	readonly #fleet: Fleet;
	readonly #options: FleetOptions & {callerDelayMs: number};
	readonly #records: ProgramRecord[] = [];
	readonly #calls: CallRecord[] = [];
	readonly #programsByCaller = new Map<CallerId, number>();
	#runningPrograms = 0;
	#liveTokens = 0;
	/** Tokens of running programs as of the last report. */
	#reportedLiveTokens = 0;
	#promptTokens = 0;
	#wastedTokens = 0;
	#unfinishedPrograms: number;

	constructor(
		clock: VirtualClock,
		programs: ProgramPlan[],
		options: FleetOptions & {callerDelayMs: number},
	) {
		this.#clock = clock;
		this.#options = options;
		this.#fleet = new Fleet(clock, options);
		this.#unfinishedPrograms = programs.length;
		for (const plan of programs) {
			clock.after(plan.arrivalMs + options.callerDelayMs, () => {
				this.#start(plan);
			});
		}
	}

	get fleet(): Fleet {
		return this.#fleet;
	}

	/** Runs until every program has finished or has been refused. */
	run(): RunRecord {
		this.#reportPeriodically();
		this.#clock.run(() => this.#unfinishedPrograms === 0);
		assertInvariant(this.#unfinishedPrograms === 0, 'every-program-ends', {
			open: this.#unfinishedPrograms,
		});
		let unusedTokenMs = 0;
		for (const {cache} of this.#fleet.engines) {
			cache.clear(this.#clock.nowMs);
			unusedTokenMs += cache.unusedTokenMs;
		}

		return {
			programs: this.#records,
			calls: this.#calls,
			promptTokens: this.#promptTokens,
			wastedTokens: this.#wastedTokens,
			unusedCacheTokenSeconds: unusedTokenMs / 1000,
			endedAtMs: this.#clock.nowMs,
		};
	}

	#reportPeriodically(): void {
		this.#fleet.report();
		this.#reportedLiveTokens = this.#liveTokens;
		this.#clock.after(REPORT_INTERVAL_MS, () => {
			this.#reportPeriodically();
		});
	}

	#computeLoad(router: number, callerId: CallerId): FleetLoad {
		const {model, policy} = this.#options;
		const view = this.#fleet.views[router]!;
		view.nowMs = this.#clock.nowMs;
		const load: FleetLoad = {
			engines: 0,
			slots: 0,
			inFlight: 0,
			queued: 0,
			outstandingWorkMs: 0,
			cacheUsedTokens: this.#reportedLiveTokens,
			cacheCapacityTokens: 0,
			callerPrograms: this.#programsByCaller.get(callerId) ?? 0,
			programs: this.#runningPrograms,
			activeCallers: this.#programsByCaller.size,
		};
		const decodeMs = computeStepMs(model, model.slots) / model.slots;
		const slots = model.slots * policy.slotsFactor;
		for (let engine = 0; engine < view.count; engine++) {
			if (view.healthy[engine]! && !view.leaving[engine]!) {
				const estimate = view.estimate(engine);
				load.engines++;
				load.slots += model.slots;
				load.inFlight += Math.min(slots, estimate.calls);
				load.queued += Math.max(0, estimate.calls - slots);
				load.outstandingWorkMs +=
					(estimate.prefillTokens * model.prefillMsPerToken +
						estimate.completionTokens * decodeMs) /
					view.relativeSpeed(engine);
				load.cacheCapacityTokens += model.cacheCapacityTokens;
			}
		}

		return load;
	}

	#start(plan: ProgramPlan): void {
		const {index, caller, chain, deadlineMs, agent} = plan;
		const callerId = asId<CallerId>(`caller-${caller}`);
		const programId = asId<ProgramId>(`p0-${index}`);
		const record: ProgramRecord = {plan};
		this.#records.push(record);
		const decision = this.#options.policy.admit(
			this.#computeLoad(index % this.#options.routers, callerId),
			{
				programId,
				callerId,
				isNewProgram: true,
				deadlineMs: Number.isFinite(deadlineMs) ? deadlineMs : undefined,
				expectedProgramMs: agent.expectedProgramMs,
			},
			this.#clock.nowMs,
		);
		if (!decision.admitted) {
			this.#end(record, {refusedReason: decision.reason});
			return;
		}

		this.#programsByCaller.set(
			callerId,
			(this.#programsByCaller.get(callerId) ?? 0) + 1,
		);
		this.#runningPrograms++;
		const program = {
			plan,
			record,
			callerId,
			programId,
			attainedTokens: 0,
			liveTokens: 0,
		};
		this.#runChain(program, chain, programId, () => {
			this.#finish(program);
		});
	}

	#finish({record, callerId, liveTokens}: RunningProgram): void {
		const remaining = this.#programsByCaller.get(callerId)! - 1;
		if (remaining === 0) {
			this.#programsByCaller.delete(callerId);
		} else {
			this.#programsByCaller.set(callerId, remaining);
		}

		this.#runningPrograms--;
		this.#liveTokens -= liveTokens;
		this.#end(record, {finishedAtMs: this.#clock.nowMs});
	}

	#end(
		record: ProgramRecord,
		outcome: {finishedAtMs: number} | {refusedReason: string},
	): void {
		assertInvariant(
			record.finishedAtMs === undefined && record.refusedReason === undefined,
			'program-ends-once',
			{program: record.plan.index, outcome},
		);
		Object.assign(record, outcome);
		this.#unfinishedPrograms--;
	}

	#runChain(
		program: RunningProgram,
		chain: Chain,
		chainKey: string,
		onDone: () => void,
	): void {
		this.#sendTurn({
			program,
			chain,
			chainKey,
			turn: 0,
			historyTokens: 0,
			onDone,
		});
	}

	#sendTurn(run: ChainRun): void {
		const {callerDelayMs, policy, routers} = this.#options;
		const {turn, chain, chainKey, historyTokens} = run;
		const {newTokens, completionTokens, expectedPauseMs} = chain.turns[turn]!;
		const issuedAtMs = this.#clock.nowMs;
		const promptTokens = historyTokens + newTokens;
		const call: SimCall = {
			chainKey,
			historyTokens,
			promptTokens,
			completionTokens,
			hitTokens: 0,
			importedTokens: 0,
			router: run.program.plan.index % routers,
			attempt: 1,
			engine: 0,
			work: {calls: 0, prefillTokens: 0, completionTokens: 0},
			expectedPauseMs,
			isLastOfChain: turn === chain.turns.length - 1,
			sentAtMs: issuedAtMs,
			submittedAtMs: issuedAtMs,
			queued: describeCall(run, promptTokens, issuedAtMs),
			finish: () => {
				this.#clock.after(callerDelayMs, () => {
					this.#completeTurn(run, call, issuedAtMs);
				});
			},
		};
		this.#clock.after(callerDelayMs + policy.controlDelayMs, () => {
			this.#fleet.send(call);
		});
	}

	#completeTurn(run: ChainRun, call: SimCall, issuedAtMs: number): void {
		const {program, chain} = run;
		assertInvariant(
			call.queued.turn === run.turn,
			'call-finishes-once',
			call.queued.requestId,
		);
		const turn = chain.turns[run.turn]!;
		const tokens = turn.newTokens + turn.completionTokens;
		this.#promptTokens += call.promptTokens;
		this.#wastedTokens +=
			call.historyTokens - call.hitTokens - call.importedTokens;
		program.attainedTokens += tokens;
		program.liveTokens += tokens;
		this.#liveTokens += tokens;
		run.historyTokens += tokens;
		this.#recordCall(turn, issuedAtMs);
		this.#runSubAgents(run, turn, () => {
			run.turn++;
			if (call.isLastOfChain) {
				this.#fleet.endChain(run.chainKey);
				run.onDone();
				return;
			}

			this.#clock.after(turn.pauseMs, () => {
				this.#sendTurn(run);
			});
		});
	}

	#recordCall(turn: Turn, issuedAtMs: number): void {
		const {model, callerDelayMs} = this.#options;
		const finishedAtMs = this.#clock.nowMs;
		const idleMs =
			2 * callerDelayMs +
			turn.newTokens * model.prefillMsPerToken +
			turn.completionTokens * computeStepMs(model, 1);
		this.#calls.push({
			issuedAtMs,
			finishedAtMs,
			slowdown: (finishedAtMs - issuedAtMs) / idleMs,
		});
	}

	#runSubAgents(run: ChainRun, turn: Turn, onDone: () => void): void {
		if (turn.subAgents.length === 0) {
			onDone();
			return;
		}

		let open = turn.subAgents.length;
		const finishOne = () => {
			open--;
			if (open === 0) {
				onDone();
			}
		};

		for (const [index, chain] of turn.subAgents.entries()) {
			const chainKey = `${run.chainKey}/${run.turn}-${index}`;
			this.#runChain(run.program, chain, chainKey, finishOne);
		}
	}
}
