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
	openCarves,
	openIntents,
	pendingReleases,
	pendingReturns,
	type ProgramCommand,
	type ProgramResult,
	programOfShard,
	stepPrograms,
} from '@marjoramcove/programs';
import {createAccept, createIntent} from './program-commands.ts';
import {
	damageState,
	dropLastRecord,
	type ProgramFault,
} from './program-faults.ts';
import {
	type CommandOf,
	ProgramOracle,
	TREE_TOKENS,
	TREE_TURNS,
} from './program-oracle.ts';

/** One random choice: what happens, to which item, and how well it goes (0 to 99). */
export type ProgramStepChoice = {action: number; pick: number; luck: number};

type Execution = {call: OpenCallDescription; usedTokens: number};

const WALL_MS = 30_000;
const limits = {tombstoneRetentionMs: 20_000, callGraceMs: 1000};

/** Two shards whose commands are doubled, delayed and reordered, with callers, executors, engines. */
export class ProgramModel {
	#nowMs = 1000;
	readonly #shards = [0, 1].map((shard) => createProgramsState(shard, limits));
	readonly #oracle = new ProgramOracle(this.#shards);
	readonly #accepts: Array<CommandOf<'accept-call'>> = [];
	#executions: Execution[] = [];
	readonly #pool: Array<{command: ProgramCommand; copies: number}> = [];
	#counter = 0;
	readonly #fault: ProgramFault | undefined;

	constructor(fault?: ProgramFault) {
		this.#fault = fault;
	}

	/** What went wrong so far. */
	get problems(): ReadonlySet<string> {
		return this.#oracle.problems;
	}

	/** Runs the choices, then ends all programs and lets everything settle. */
	run(choices: ProgramStepChoice[]): string[] {
		for (const choice of choices) {
			this.#nowMs += choice.luck * 3;
			this.#act(choice);
			this.#deliver(choice);
			this.#oracle.checkMemory();
		}

		this.#drain();
		return [...this.problems];
	}

	#act({action, pick, luck}: ProgramStepChoice): void {
		const programs = [...this.#oracle.history.keys()];
		const programId = programs[pick % Math.max(1, programs.length)];
		if (action < 8 || programId === undefined) {
			this.#open();
		} else if (action < 14) {
			this.#carve(programId, luck);
		} else if (action < 50) {
			this.#accept(programId, pick, luck);
		} else if (action < 56 && this.#accepts.length > 0) {
			this.#push(this.#accepts[pick % this.#accepts.length]!);
		} else if (action < 58) {
			this.#push({
				...this.#head(programId),
				type: 'end-program',
				reason: 'ended',
			});
		} else if (action < 62) {
			this.#nowMs += luck < 20 ? 10_000 : 0;
			this.#expire();
		} else if (action < 72) {
			this.#maintain(luck);
		} else if (action < 80) {
			this.#loseDispatcher(pick, luck);
		} else if (action < 85) {
			this.#changeOwner(pick % 2);
		} else {
			this.#finish(pick, luck);
		}
	}

	#head(programId: ProgramId): {nowMs: number; programId: ProgramId} {
		return {nowMs: this.#nowMs, programId};
	}

	#push(command: ProgramCommand): void {
		this.#pool.push({command, copies: 0});
	}

	#open(): void {
		if (this.#oracle.history.size < 8) {
			const programId = asId<ProgramId>(`p0-${this.#counter++}`);
			this.#push({
				type: 'open-program',
				...this.#head(programId),
				callerId: asId<CallerId>('hall-1'),
				labels: {},
				budget: {tokens: TREE_TOKENS, turns: TREE_TURNS, wallTimeMs: WALL_MS},
			});
		}
	}

	#carve(parentId: ProgramId, luck: number): void {
		const childId = asId<ProgramId>(`p1-${this.#counter++}`);
		this.#oracle.roots.set(childId, this.#oracle.rootOf(parentId));
		if (programOfShard(parentId) === 0) {
			this.#push({
				type: 'carve-budget',
				...this.#head(parentId),
				childId,
				budget: {tokens: 50 + luck, turns: 3, wallTimeMs: WALL_MS},
			});
		}
	}

	#accept(programId: ProgramId, pick: number, luck: number): void {
		const command = createAccept({
			...this.#head(programId),
			requestId: asId<RequestId>(`r${this.#counter++}`),
			pick,
			luck,
			nextTurn: describeProgram(this.#shardOf(programId), programId)?.nextTurn,
		});
		this.#accepts.push(command);
		this.#push(command);
	}

	#shardOf(programId: ProgramId) {
		return this.#shards[programOfShard(programId)]!;
	}

	#expire(): void {
		this.#apply({type: 'expire-programs', nowMs: this.#nowMs}, 0);
		this.#apply({type: 'expire-programs', nowMs: this.#nowMs}, 1);
	}

	/** Work of the owners: releases, returned budgets, sub-agents that were never opened. */
	#maintain(luck: number): void {
		for (const state of this.#shards) {
			for (const release of pendingReleases(state)) {
				this.#release(release.programId, release.upstreamId, release.heldTurn);
			}

			for (const item of pendingReturns(state)) {
				this.#push({type: 'return-budget', nowMs: this.#nowMs, ...item});
			}

			for (const {childId, programId} of openCarves(state)) {
				if (!describeProgram(this.#shards[1]!, childId)) {
					this.#push({
						type: 'abandon-program',
						...this.#head(childId),
						parentId: programId,
					});
				}
			}

			this.#dropIdleMemory(luck);
		}
	}

	/** Drops the memory of one open program that runs no call, as cache retention may decide. */
	#dropIdleMemory(luck: number): void {
		const idle = [...this.#oracle.history.keys()]
			.map((id) => describeProgram(this.#shardOf(id), id))
			.filter((program) => program?.phase === 'open' && !program.call);
		const program = idle[luck % Math.max(1, idle.length)];
		const [hold] = program?.holds ?? [];
		if (program && hold && luck < 50) {
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
			...this.#head(programId),
			upstreamId,
			heldTurn,
		});
	}

	#loseDispatcher(pick: number, luck: number): void {
		const open = this.#shards.flatMap((state) => openIntents(state));
		const call = open[pick % Math.max(1, open.length)];
		if (!call) {
			return;
		}

		const {programId, requestId, intent} = call;
		if (call.idempotent && luck < 70) {
			this.#push({
				type: 'retry-call',
				...this.#head(programId),
				requestId,
				lostAttempt: intent.attempt,
				reservedTokens: call.reservedTokens,
				intent: createIntent(intent.attempt + 1, luck % 3),
			});
			return;
		}

		if (this.#fault === 'resend-after-unknown') {
			this.#run(call, luck);
		}

		this.#push({
			type: 'settle-call',
			...this.#head(programId),
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

	/** A new owner starts from a snapshot. */
	#changeOwner(shard: number): void {
		const state = decodePrograms(encodePrograms(this.#shards[shard]!));
		damageState(state, this.#fault);
		this.#shards[shard] = state;
	}

	/** An execution ends: it settles, or its dispatcher vanishes without a word. */
	#finish(pick: number, luck: number): void {
		const index = pick % Math.max(1, this.#executions.length);
		const [execution] = this.#executions.splice(index, 1);
		if (!execution || luck < 20) {
			return;
		}

		const {call, usedTokens} = execution;
		const answer = `${call.programId} answers ${call.requestId} attempt ${call.intent.attempt}`;
		this.#push({
			type: 'settle-call',
			...this.#head(call.programId),
			requestId: call.requestId,
			attempt: call.intent.attempt,
			outcome: {
				status: 'answered',
				verdict: 'ran',
				contentType: 'application/json',
			},
			answer: {role: 'assistant', content: answer},
			...(luck > 30 && {usedTokens}),
		});
	}

	#deliver({pick, luck}: ProgramStepChoice): void {
		for (let count = 0; count < 2 && this.#pool.length > 0; count++) {
			const index = (pick + count) % this.#pool.length;
			const entry = this.#pool[index]!;
			if (luck % 3 > 0 || entry.copies >= 2) {
				this.#pool.splice(index, 1);
			}

			entry.copies++;
			this.#apply(entry.command, this.#targetOf(entry.command), luck);
		}
	}

	#targetOf(command: ProgramCommand): number {
		return 'programId' in command ? programOfShard(command.programId) : 0;
	}

	#apply(command: ProgramCommand, shard: number, luck = 50): void {
		const {state, result, appended} = stepPrograms(
			this.#shards[shard]!,
			structuredClone(command),
		);
		this.#shards[shard] = state;
		const texts =
			this.#fault === 'append-history-twice' && luck < 20
				? [...appended, ...appended]
				: appended;
		this.#oracle.appendTexts(shard, texts);
		if (this.#fault === 'drop-refusals' && result.outcome === 'refused') {
			dropLastRecord(state, command);
		}

		this.#observe(command, result, luck);
		if ('programId' in command) {
			this.#oracle.checkHistory(command.programId);
		}
	}

	#observe(command: ProgramCommand, result: ProgramResult, luck: number): void {
		if (command.type === 'open-program' && result.outcome === 'opened') {
			this.#oracle.observeOpen(command.programId, result.deadlineMs);
		} else if (result.outcome === 'carved' && command.type === 'carve-budget') {
			if (luck > 15) {
				this.#push({
					type: 'open-program',
					...this.#head(result.childId),
					callerId: asId<CallerId>('hall-1'),
					labels: {},
					parentId: command.programId,
					budget: result.budget,
					deadlineMs: result.deadlineMs,
				});
			}
		} else if (command.type === 'return-budget' && result.outcome === 'done') {
			this.#push({type: 'record-return', ...this.#head(command.childId)});
		} else if (command.type === 'accept-call') {
			this.#oracle.observeAccept(command, result);
			if (result.outcome === 'accepted') {
				this.#run(result.call, luck);
			}
		} else if (command.type === 'settle-call') {
			this.#oracle.observeSettle(command, result);
		} else if (result.outcome === 'retried') {
			this.#run(result.call, luck);
		}
	}

	/** The dispatcher runs the call at once, or discards it and settles it as not run. */
	#run(call: OpenCallDescription, luck: number): void {
		if (luck % 10 === 9) {
			this.#push({
				type: 'settle-call',
				...this.#head(call.programId),
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

	/** After the deadline of everything, nothing may stay open, held or remembered. */
	#drain(): void {
		for (let round = 0; round < 12; round++) {
			this.#nowMs += WALL_MS;
			this.#expire();
			this.#maintain(99);
			while (this.#pool.length > 0) {
				const {command} = this.#pool.shift()!;
				this.#apply(command, this.#targetOf(command), 1);
			}
		}

		const isLeft = this.#shards.some(({programs}) => programs.size > 0);
		this.#oracle.report(isLeft, 'programs left after the drain');
		this.#oracle.report(
			this.#oracle.memory.size > 0,
			'engine memory left after the drain',
		);
	}
}
