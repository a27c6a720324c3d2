import {
	asId,
	type CallerId,
	type ProgramId,
	type RequestId,
	type UpstreamId,
} from '@marjoramcove/types';
import {intentOf} from './commands.fixture.ts';
import {
	createProgramsState,
	decodePrograms,
	describeProgram,
	encodeHistoryText,
	encodePrograms,
	hashHistoryContent,
	historyEntries,
	type OpenCallDescription,
	openCarves,
	openIntents,
	pendingReleases,
	pendingReturns,
	type ProgramCommand,
	type ProgramResult,
	programOfShard,
	stepPrograms,
} from './index.ts';
import type {CommandOf} from './step-context.ts';

/** Deliberate faults of the harness; each must be detected. */
export type ProgramFault =
	| 'append-history-twice'
	| 'drop-carves'
	| 'drop-records'
	| 'drop-refusals'
	| 'forget-hold'
	| 'free-unknown-usage'
	| 'forget-open-call'
	| 'ignore-deadline'
	| 'resend-after-unknown';

/** One random choice: what happens, to which item, and how well it goes (0 to 99). */
export type ProgramStepChoice = {action: number; pick: number; luck: number};

/** A call as it really happened, apart from what the machine knows. */
type Fact = {
	runs: number;
	idempotent: boolean;
	accepted: boolean;
	reportedNotRun: boolean;
	messages: string[];
	answer?: string;
};

type Execution = {call: OpenCallDescription; usedTokens: number};

const limits = {tombstoneRetentionMs: 20_000, callGraceMs: 1000};
const TREE_TOKENS = 400;
const TREE_TURNS = 12;
const WALL_MS = 30_000;

/** Two shards whose commands are doubled, delayed and reordered, with callers, executors, engines. */
export class ProgramModel {
	readonly problems = new Set<string>();
	#nowMs = 1000;
	readonly #shards = [0, 1].map((shard) => createProgramsState(shard, limits));
	readonly #streams = [Buffer.alloc(0), Buffer.alloc(0)];
	readonly #facts = new Map<string, Fact>();
	readonly #accepts: Array<CommandOf<'accept-call'>> = [];
	readonly #history = new Map<ProgramId, string[]>();
	readonly #memory = new Set<string>();
	readonly #usage = new Map<string, {tokens: number; turns: number}>();
	readonly #deadlines = new Map<string, number>();
	readonly #children = new Map<ProgramId, ProgramId>();
	#executions: Execution[] = [];
	readonly #pool: Array<{command: ProgramCommand; copies: number}> = [];
	#counter = 0;
	readonly #fault: ProgramFault | undefined;

	constructor(fault?: ProgramFault) {
		this.#fault = fault;
	}

	/** Runs the choices, then ends all programs and lets everything settle. */
	run(choices: ProgramStepChoice[]): string[] {
		for (const choice of choices) {
			this.#nowMs += choice.luck * 3;
			this.#act(choice);
			this.#deliver(choice);
			this.#checkMemory();
		}

		this.#drain();
		return [...this.problems];
	}

	#act({action, pick, luck}: ProgramStepChoice): void {
		const programs = [...this.#history.keys()];
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
		if (this.#history.size < 8) {
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
		this.#children.set(childId, this.#children.get(parentId) ?? parentId);
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
		const requestId = asId<RequestId>(`r${this.#counter++}`);
		const isModel = pick % 3 > 0;
		const command: CommandOf<'accept-call'> = {
			type: 'accept-call',
			...this.#head(programId),
			requestId,
			bodyHash: requestId,
			kind: isModel ? 'model' : 'tool',
			idempotent: isModel || luck < 30,
			messages: [{role: 'user', content: `${programId} asks ${requestId}`}],
			reservedTokens: isModel ? 1 + luck : 0,
			timeoutMs: 5000,
			intent: intentOf({upstreamId: asId<UpstreamId>(`e${pick % 3}`)}),
			...(luck > 80 && {
				expectedTurn: describeProgram(this.#shardOf(programId), programId)
					?.nextTurn,
			}),
		};
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
		const idle = [...this.#history.keys()]
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
		this.#memory.delete(`${upstreamId} ${programId}`);
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
			const next = asId<UpstreamId>(`e${luck % 3}`);
			this.#push({
				type: 'retry-call',
				...this.#head(programId),
				requestId,
				lostAttempt: intent.attempt,
				reservedTokens: call.reservedTokens,
				intent: intentOf({attempt: intent.attempt + 1, upstreamId: next}),
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
		for (const program of state.programs.values()) {
			if (this.#fault === 'drop-carves') {
				program.carves = undefined;
				program.carvedTokens = 0;
				program.carvedTurns = 0;
			} else if (this.#fault === 'drop-records') {
				program.records = '';
			} else if (this.#fault === 'forget-hold' && !program.call) {
				program.holds = [];
			} else if (this.#fault === 'forget-open-call') {
				program.call = undefined;
			} else if (this.#fault === 'ignore-deadline') {
				program.deadlineMs += 100_000;
			}
		}

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
		this.#streams[shard] = Buffer.concat([
			this.#streams[shard]!,
			...texts.map((text) => encodeHistoryText(text)),
		]);
		if (this.#fault === 'drop-refusals' && result.outcome === 'refused') {
			this.#shards[shard] = this.#withoutRefusals(command);
		}

		this.#observe(command, result, luck);
		if ('programId' in command) {
			this.#checkHistory(command.programId);
		}
	}

	#withoutRefusals(command: ProgramCommand) {
		const state = this.#shards[this.#targetOf(command)]!;
		const program =
			'programId' in command
				? state.programs.get(command.programId)
				: undefined;
		if (program) {
			program.records = program.records.slice(0, -19);
		}

		return state;
	}

	#observe(command: ProgramCommand, result: ProgramResult, luck: number): void {
		if (command.type === 'open-program' && result.outcome === 'opened') {
			this.#history.set(
				command.programId,
				this.#history.get(command.programId) ?? [],
			);
			const deadline = this.#deadlines.get(this.#rootOf(command.programId));
			this.#deadlines.set(
				this.#rootOf(command.programId),
				deadline ?? result.deadlineMs,
			);
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
			this.#observeAccept(command, result, luck);
		} else if (command.type === 'settle-call') {
			this.#observeSettle(command, result);
		} else if (result.outcome === 'retried') {
			this.#run(result.call, luck);
		}
	}

	#rootOf(programId: ProgramId): string {
		return this.#children.get(programId) ?? programId;
	}

	#factOf(command: CommandOf<'accept-call'>): Fact {
		const key = `${command.programId} ${command.requestId}`;
		const fact = this.#facts.get(key) ?? {
			runs: 0,
			idempotent: command.idempotent,
			accepted: false,
			reportedNotRun: false,
			messages: command.messages.map((message) => message.content),
		};
		this.#facts.set(key, fact);
		return fact;
	}

	#observeAccept(
		command: CommandOf<'accept-call'>,
		result: ProgramResult,
		luck: number,
	): void {
		const fact = this.#factOf(command);
		if (result.outcome === 'accepted') {
			this.#report(fact.reportedNotRun, 'accepted after not-run was reported');
			this.#report(fact.accepted, 'accepted twice');
			fact.accepted = true;
			this.#history.get(command.programId)?.push(...fact.messages);
			const turns = this.#use(command.programId, 0, 1);
			this.#report(turns > TREE_TURNS, 'turns exceeded');
			this.#run(result.call, luck);
		} else if (result.outcome === 'recorded') {
			const {answer, outcome} = result.record;
			this.#report(!fact.accepted, 'record of a call that was not accepted');
			this.#report(
				outcome.status === 'answered' &&
					this.#read(command.programId, answer) !== fact.answer,
				'wrong answer in the record',
			);
		} else if (result.outcome === 'refused' && result.verdict === 'not-run') {
			this.#report(fact.accepted, 'refused after it was accepted');
			fact.reportedNotRun = true;
		}
	}

	/** The dispatcher runs the call at once, or discards it and settles it as not run. */
	#run(call: OpenCallDescription, luck: number): void {
		const fact = this.#facts.get(`${call.programId} ${call.requestId}`)!;
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

		fact.runs++;
		this.#report(fact.runs > 1 && !fact.idempotent, 'ran twice');
		this.#report(fact.reportedNotRun, 'ran after not-run was reported');
		const deadline = this.#deadlines.get(this.#rootOf(call.programId))!;
		this.#report(
			call.attemptAtMs + call.timeoutMs > deadline,
			'wall time exceeded',
		);
		this.#use(call.programId, call.reservedTokens, 0);
		this.#executions.push({call, usedTokens: call.reservedTokens});
		if (call.kind === 'model') {
			this.#memory.add(`${call.upstreamId} ${call.programId}`);
		}
	}

	/** Adds real usage to the tree of a program and returns the turns of the tree. */
	#use(programId: ProgramId, tokens: number, turns: number): number {
		const root = this.#rootOf(programId);
		const usage = this.#usage.get(root) ?? {tokens: 0, turns: 0};
		usage.tokens += tokens;
		usage.turns += turns;
		this.#usage.set(root, usage);
		this.#report(usage.tokens > TREE_TOKENS, 'tokens exceeded');
		return usage.turns;
	}

	#observeSettle(
		command: CommandOf<'settle-call'>,
		result: ProgramResult,
	): void {
		if (result.outcome !== 'settled' || result.repeated) {
			return;
		}

		const fact = this.#facts.get(`${command.programId} ${command.requestId}`)!;
		const history = this.#history.get(command.programId)!;
		if (command.outcome.verdict === 'not-run') {
			history.splice(-fact.messages.length);
			fact.reportedNotRun = true;
		} else if (command.answer) {
			fact.answer = command.answer.content;
			history.push(fact.answer);
		}
	}

	#read(
		programId: ProgramId,
		entry?: {offset: number; lengthBytes: number; hash: string},
	): string | undefined {
		if (!entry) {
			return undefined;
		}

		const text = this.#streams
			[programOfShard(programId)]!.subarray(
				entry.offset,
				entry.offset + entry.lengthBytes,
			)
			.toString('utf8');
		this.#report(
			hashHistoryContent(text) !== entry.hash,
			'history hash differs',
		);
		return text;
	}

	#report(isProblem: boolean, problem: string): void {
		if (isProblem) {
			this.problems.add(problem);
		}
	}

	#checkHistory(programId: ProgramId): void {
		const state = this.#shardOf(programId);
		const expected = this.#history.get(programId);
		if (expected && describeProgram(state, programId)) {
			const texts = historyEntries(state, programId).map((entry) =>
				this.#read(programId, entry),
			);
			this.#report(
				JSON.stringify(texts) !== JSON.stringify(expected),
				'history differs',
			);
		}
	}

	#checkMemory(): void {
		for (const item of this.#memory) {
			const [upstreamId, programId] = item.split(' ') as [
				UpstreamId,
				ProgramId,
			];
			const holds = describeProgram(this.#shardOf(programId), programId)?.holds;
			this.#report(
				!holds?.some((hold) => hold.upstreamId === upstreamId),
				'engine memory without a hold',
			);
		}
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

		const left = this.#shards.reduce(
			(sum, {programs}) => sum + programs.size,
			0,
		);
		this.#report(left > 0, 'programs left after the drain');
		this.#report(this.#memory.size > 0, 'engine memory left after the drain');
	}
}
