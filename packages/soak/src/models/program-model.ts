import {
	asId,
	type CallerId,
	type ProgramId,
	type RequestId,
	type UpstreamId,
} from '@marjoramcove/types';
import {
	createProgramsState,
	decodePrograms,
	describeProgram,
	encodePrograms,
	type OpenCallDescription,
	openChildBudgets,
	openIntents,
	pendingReleases,
	pendingReturns,
	type ProgramCommand,
	type ProgramResult,
	shardOfProgram,
	stepPrograms,
} from '@marjoramcove/programs';
import {createAccept, createIntent} from './program-commands.ts';
import {
	corruptState,
	dropLastRecord,
	type ProgramFault,
} from './program-faults.ts';
import {
	type CommandOf,
	ProgramOracle,
	TREE_TOKENS,
	TREE_TURNS,
} from './program-oracle.ts';

/**
 * One random choice: which action, on which item, and a percentage that decides losses and other
 * details.
 */
export type ProgramStepChoice = {
	action: number;
	pick: number;
	randomPercent: number;
};

type Execution = {call: OpenCallDescription; usedTokens: number};

const WALL_MS = 30_000;
const limits = {tombstoneRetentionMs: 20_000, callGraceMs: 1000};

/**
 * Two shards whose commands are duplicated, delayed and reordered, with simulated callers,
 * dispatchers and engines.
 */
export class ProgramModel {
	#nowMs = 1000;
	readonly #shards = [0, 1].map((shard) => createProgramsState(shard, limits));
	readonly #oracle = new ProgramOracle(this.#shards);
	readonly #acceptCommands: Array<CommandOf<'accept-call'>> = [];
	#executions: Execution[] = [];
	readonly #pendingCommands: Array<{command: ProgramCommand; copies: number}> =
		[];

	#nextId = 0;
	readonly #fault: ProgramFault | undefined;

	constructor(fault?: ProgramFault) {
		this.#fault = fault;
	}

	/** Problems found so far. */
	get problems(): ReadonlySet<string> {
		return this.#oracle.problems;
	}

	/**
	 * Runs the choices, then lets all programs expire and all commands complete; returns the problems.
	 */
	run(choices: ProgramStepChoice[]): string[] {
		for (const choice of choices) {
			this.#nowMs += choice.randomPercent * 3;
			this.#applyChoice(choice);
			this.#deliver(choice);
			this.#oracle.checkMemory();
		}

		this.#drain();
		return [...this.problems];
	}

	#applyChoice({action, pick, randomPercent}: ProgramStepChoice): void {
		const programs = [...this.#oracle.history.keys()];
		const programId = programs[pick % Math.max(1, programs.length)];
		if (action < 8 || programId === undefined) {
			this.#open();
		} else if (action < 14) {
			this.#allocateChildBudget(programId, randomPercent);
		} else if (action < 50) {
			this.#accept(programId, pick, randomPercent);
		} else if (action < 56 && this.#acceptCommands.length > 0) {
			this.#push(this.#acceptCommands[pick % this.#acceptCommands.length]!);
		} else if (action < 58) {
			this.#push({
				...this.#commandHead(programId),
				type: 'end-program',
				reason: 'ended',
			});
		} else if (action < 62) {
			this.#nowMs += randomPercent < 20 ? 10_000 : 0;
			this.#expire();
		} else if (action < 72) {
			this.#maintain(randomPercent);
		} else if (action < 80) {
			this.#loseDispatcher(pick, randomPercent);
		} else if (action < 85) {
			this.#changeOwner(pick % 2);
		} else {
			this.#finish(pick, randomPercent);
		}
	}

	#commandHead(programId: ProgramId): {nowMs: number; programId: ProgramId} {
		return {nowMs: this.#nowMs, programId};
	}

	#push(command: ProgramCommand): void {
		this.#pendingCommands.push({command, copies: 0});
	}

	#open(): void {
		if (this.#oracle.history.size < 8) {
			const programId = asId<ProgramId>(`p0-${this.#nextId++}`);
			this.#push({
				type: 'open-program',
				...this.#commandHead(programId),
				callerId: asId<CallerId>('hall-1'),
				labels: {},
				budget: {tokens: TREE_TOKENS, turns: TREE_TURNS, wallTimeMs: WALL_MS},
			});
		}
	}

	#allocateChildBudget(parentId: ProgramId, randomPercent: number): void {
		const childId = asId<ProgramId>(`p1-${this.#nextId++}`);
		this.#oracle.roots.set(childId, this.#oracle.rootOf(parentId));
		if (shardOfProgram(parentId) === 0) {
			this.#push({
				type: 'carve-budget',
				...this.#commandHead(parentId),
				childId,
				budget: {tokens: 50 + randomPercent, turns: 3, wallTimeMs: WALL_MS},
			});
		}
	}

	#accept(programId: ProgramId, pick: number, randomPercent: number): void {
		const command = createAccept({
			...this.#commandHead(programId),
			requestId: asId<RequestId>(`r${this.#nextId++}`),
			pick,
			randomPercent,
			nextTurn: describeProgram(this.#shardOf(programId), programId)?.nextTurn,
		});
		this.#acceptCommands.push(command);
		this.#push(command);
	}

	#shardOf(programId: ProgramId) {
		return this.#shards[shardOfProgram(programId)]!;
	}

	#expire(): void {
		this.#apply({type: 'expire-programs', nowMs: this.#nowMs}, 0);
		this.#apply({type: 'expire-programs', nowMs: this.#nowMs}, 1);
	}

	/** Maintenance of the owners: releases, returned budgets and sub-agents that were never opened. */
	#maintain(randomPercent: number): void {
		for (const state of this.#shards) {
			for (const release of pendingReleases(state)) {
				this.#release(release.programId, release.upstreamId, release.heldTurn);
			}

			for (const item of pendingReturns(state)) {
				this.#push({type: 'return-budget', nowMs: this.#nowMs, ...item});
			}

			for (const {childId, programId} of openChildBudgets(state)) {
				if (!describeProgram(this.#shards[1]!, childId)) {
					this.#push({
						type: 'abandon-program',
						...this.#commandHead(childId),
						parentId: programId,
					});
				}
			}

			this.#dropIdleMemory(randomPercent);
		}
	}

	/**
	 * Releases the engine memory of one open program without a running call, as cache retention may
	 * do.
	 */
	#dropIdleMemory(randomPercent: number): void {
		const idle = [...this.#oracle.history.keys()]
			.map((id) => describeProgram(this.#shardOf(id), id))
			.filter((program) => program?.phase === 'open' && !program.call);
		const program = idle[randomPercent % Math.max(1, idle.length)];
		const [hold] = program?.holds ?? [];
		if (program && hold && randomPercent < 50) {
			this.#release(program.programId, hold.upstreamId, hold.heldTurn);
		}
	}

	#release(
		programId: ProgramId,
		upstreamId: UpstreamId,
		heldTurn: number,
	): void {
		this.#executions = this.#executions.filter(
			({call}) =>
				call.programId !== programId || call.upstreamId !== upstreamId,
		);
		this.#oracle.memory.delete(`${upstreamId} ${programId}`);
		this.#push({
			type: 'record-release',
			...this.#commandHead(programId),
			upstreamId,
			heldTurn,
		});
	}

	#loseDispatcher(pick: number, randomPercent: number): void {
		const open = this.#shards.flatMap((state) => openIntents(state));
		const call = open[pick % Math.max(1, open.length)];
		if (!call) {
			return;
		}

		const {programId, requestId, intent} = call;
		if (call.idempotent && randomPercent < 70) {
			this.#push({
				type: 'retry-call',
				...this.#commandHead(programId),
				requestId,
				lostAttempt: intent.attempt,
				reservedTokens: call.reservedTokens,
				intent: createIntent(intent.attempt + 1, randomPercent % 3),
			});
			return;
		}

		if (this.#fault === 'resend-after-unknown') {
			this.#execute(call, randomPercent);
		}

		this.#push({
			type: 'settle-call',
			...this.#commandHead(programId),
			requestId,
			attempt: intent.attempt,
			outcome: {
				status: 'failed',
				verdict: 'may-have-run',
				reason: 'dispatcher-lost',
				message: 'lost',
			},
			...(this.#fault === 'free-unknown-usage' && {usedTokens: 0}),
		});
	}

	/** Replaces the owner of a shard; the new owner loads a snapshot. */
	#changeOwner(shard: number): void {
		const state = decodePrograms(encodePrograms(this.#shards[shard]!));
		corruptState(state, this.#fault);
		this.#shards[shard] = state;
	}

	/** Ends an execution: its call is settled, or the dispatcher disappears without settling it. */
	#finish(pick: number, randomPercent: number): void {
		const index = pick % Math.max(1, this.#executions.length);
		const [execution] = this.#executions.splice(index, 1);
		if (!execution || randomPercent < 20) {
			return;
		}

		const {call, usedTokens} = execution;
		const answer = `${call.programId} answers ${call.requestId} attempt ${call.intent.attempt}`;
		this.#push({
			type: 'settle-call',
			...this.#commandHead(call.programId),
			requestId: call.requestId,
			attempt: call.intent.attempt,
			outcome: {
				status: 'answered',
				verdict: 'ran',
				contentType: 'application/json',
			},
			answer: {role: 'assistant', content: answer},
			...(randomPercent > 30 && {usedTokens}),
		});
	}

	#deliver({pick, randomPercent}: ProgramStepChoice): void {
		for (
			let count = 0;
			count < 2 && this.#pendingCommands.length > 0;
			count++
		) {
			const index = (pick + count) % this.#pendingCommands.length;
			const entry = this.#pendingCommands[index]!;
			if (randomPercent % 3 > 0 || entry.copies >= 2) {
				this.#pendingCommands.splice(index, 1);
			}

			entry.copies++;
			this.#apply(
				entry.command,
				this.#shardNumberOf(entry.command),
				randomPercent,
			);
		}
	}

	#shardNumberOf(command: ProgramCommand): number {
		return 'programId' in command ? shardOfProgram(command.programId) : 0;
	}

	#apply(command: ProgramCommand, shard: number, randomPercent = 50): void {
		const {state, result, appended} = stepPrograms(
			this.#shards[shard]!,
			structuredClone(command),
		);
		this.#shards[shard] = state;
		const texts =
			this.#fault === 'append-history-twice' && randomPercent < 20
				? [...appended, ...appended]
				: appended;
		this.#oracle.appendTexts(shard, texts);
		if (this.#fault === 'drop-refusals' && result.outcome === 'refused') {
			dropLastRecord(state, command);
		}

		this.#observeResult(command, result, randomPercent);
		if ('programId' in command) {
			this.#oracle.checkHistory(command.programId);
		}
	}

	#observeResult(
		command: ProgramCommand,
		result: ProgramResult,
		randomPercent: number,
	): void {
		if (command.type === 'open-program' && result.outcome === 'opened') {
			this.#oracle.observeOpen(command.programId, result.deadlineMs);
		} else if (result.outcome === 'carved' && command.type === 'carve-budget') {
			if (randomPercent > 15) {
				this.#push({
					type: 'open-program',
					...this.#commandHead(result.childId),
					callerId: asId<CallerId>('hall-1'),
					labels: {},
					parentId: command.programId,
					budget: result.budget,
					deadlineMs: result.deadlineMs,
				});
			}
		} else if (command.type === 'return-budget' && result.outcome === 'done') {
			this.#push({
				type: 'record-return',
				...this.#commandHead(command.childId),
			});
		} else if (command.type === 'accept-call') {
			this.#oracle.observeAccept(command, result);
			if (result.outcome === 'accepted') {
				this.#execute(result.call, randomPercent);
			}
		} else if (command.type === 'settle-call') {
			this.#oracle.observeSettle(command, result);
		} else if (result.outcome === 'retried') {
			this.#execute(result.call, randomPercent);
		}
	}

	/** Lets the dispatcher execute the call immediately, or discard it and settle it as not-run. */
	#execute(call: OpenCallDescription, randomPercent: number): void {
		if (randomPercent % 10 === 9) {
			this.#push({
				type: 'settle-call',
				...this.#commandHead(call.programId),
				requestId: call.requestId,
				attempt: call.intent.attempt,
				outcome: {
					status: 'failed',
					verdict: 'not-run',
					reason: 'discarded',
					message: 'discarded',
				},
			});
			return;
		}

		this.#oracle.observeRun(call);
		this.#executions.push({call, usedTokens: call.reservedTokens});
	}

	/** Checks that no program and no engine memory is left after all deadlines and retention times. */
	#drain(): void {
		for (let round = 0; round < 12; round++) {
			this.#nowMs += WALL_MS;
			this.#expire();
			this.#maintain(99);
			while (this.#pendingCommands.length > 0) {
				const {command} = this.#pendingCommands.shift()!;
				this.#apply(command, this.#shardNumberOf(command), 1);
			}
		}

		const hasProgramsLeft = this.#shards.some(
			({programs}) => programs.size > 0,
		);
		this.#oracle.report(hasProgramsLeft, 'programs left after the drain');
		this.#oracle.report(
			this.#oracle.memory.size > 0,
			'engine memory left after the drain',
		);
	}
}
