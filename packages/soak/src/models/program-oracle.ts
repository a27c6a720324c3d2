import {
	describeProgram,
	encodeHistoryText,
	hashHistoryContent,
	historyEntries,
	type HistoryText,
	type OpenCallDescription,
	type ProgramCommand,
	programOfShard,
	type ProgramResult,
	type ProgramsState,
} from '@marjoramcove/programs';
import type {ProgramId, UpstreamId} from '@marjoramcove/types';

/** The member of the command union with this type. */
export type CommandOf<Type extends ProgramCommand['type']> = Extract<
	ProgramCommand,
	{type: Type}
>;

/** A call as it really happened, apart from what the machine knows. */
type Fact = {
	runs: number;
	idempotent: boolean;
	accepted: boolean;
	reportedNotRun: boolean;
	messages: string[];
	answer?: string;
};

/** Budget of each top program with its sub-agents. */
export const TREE_TOKENS = 400;
export const TREE_TURNS = 12;

/** What really happened, and the checks of the program machine against it. */
export class ProgramOracle {
	readonly problems = new Set<string>();
	/** Texts of the conversation of each opened program. */
	readonly history = new Map<ProgramId, string[]>();
	/** Engine memory in use, as `<upstream> <program>`. */
	readonly memory = new Set<string>();
	/** Top program of each sub-agent. */
	readonly roots = new Map<ProgramId, ProgramId>();
	readonly #shards: ProgramsState[];
	readonly #streams = [Buffer.alloc(0), Buffer.alloc(0)];
	readonly #facts = new Map<string, Fact>();
	readonly #usage = new Map<string, {tokens: number; turns: number}>();
	readonly #deadlines = new Map<string, number>();

	constructor(shards: ProgramsState[]) {
		this.#shards = shards;
	}

	/** Appends texts to the history stream of a shard. */
	appendTexts(shard: number, texts: HistoryText[]): void {
		this.#streams[shard] = Buffer.concat([
			this.#streams[shard]!,
			...texts.map((text) => encodeHistoryText(text)),
		]);
	}

	/** Notes an opened program; the first deadline of a tree counts for all of it. */
	observeOpen(programId: ProgramId, deadlineMs: number): void {
		this.history.set(programId, this.history.get(programId) ?? []);
		const root = this.rootOf(programId);
		this.#deadlines.set(root, this.#deadlines.get(root) ?? deadlineMs);
	}

	/** Notes that a dispatcher runs a call. */
	observeRun(call: OpenCallDescription): void {
		const fact = this.#facts.get(`${call.programId} ${call.requestId}`)!;
		fact.runs++;
		this.report(fact.runs > 1 && !fact.idempotent, 'ran twice');
		this.report(fact.reportedNotRun, 'ran after not-run was reported');
		const deadline = this.#deadlines.get(this.rootOf(call.programId))!;
		this.report(
			call.attemptAtMs + call.timeoutMs > deadline,
			'wall time exceeded',
		);
		this.#use(call.programId, call.reservedTokens, 0);
		if (call.kind === 'model') {
			this.memory.add(`${call.upstreamId} ${call.programId}`);
		}
	}

	/** Top program of the tree of a sub-agent. */
	rootOf(programId: ProgramId): ProgramId {
		return this.roots.get(programId) ?? programId;
	}

	/** Compares the result of an accept with what happened before. */
	observeAccept(
		command: CommandOf<'accept-call'>,
		result: ProgramResult,
	): void {
		const fact = this.#factOf(command);
		if (result.outcome === 'accepted') {
			this.report(fact.reportedNotRun, 'accepted after not-run was reported');
			this.report(fact.accepted, 'accepted twice');
			fact.accepted = true;
			this.history.get(command.programId)?.push(...fact.messages);
			const turns = this.#use(command.programId, 0, 1);
			this.report(turns > TREE_TURNS, 'turns exceeded');
		} else if (result.outcome === 'recorded') {
			const {answer, outcome} = result.record;
			this.report(!fact.accepted, 'record of a call that was not accepted');
			this.report(
				outcome.status === 'answered' &&
					this.#read(command.programId, answer) !== fact.answer,
				'wrong answer in the record',
			);
		} else if (result.outcome === 'refused' && result.verdict === 'not-run') {
			this.report(fact.accepted, 'refused after it was accepted');
			fact.reportedNotRun = true;
		}
	}

	/** Notes what a settled call adds to the history. */
	observeSettle(
		command: CommandOf<'settle-call'>,
		result: ProgramResult,
	): void {
		if (result.outcome !== 'settled' || result.repeated) {
			return;
		}

		const fact = this.#facts.get(`${command.programId} ${command.requestId}`)!;
		const history = this.history.get(command.programId)!;
		if (command.outcome.verdict === 'not-run') {
			history.splice(-fact.messages.length);
			fact.reportedNotRun = true;
		} else if (command.answer) {
			fact.answer = command.answer.content;
			history.push(fact.answer);
		}
	}

	/** Notes a problem. */
	report(isProblem: boolean, problem: string): void {
		if (isProblem) {
			this.problems.add(problem);
		}
	}

	/** Compares the entries of a program with the history that its caller saw. */
	checkHistory(programId: ProgramId): void {
		const state = this.#shards[programOfShard(programId)]!;
		const expected = this.history.get(programId);
		if (expected && describeProgram(state, programId)) {
			const texts = historyEntries(state, programId).map((entry) =>
				this.#read(programId, entry),
			);
			this.report(
				JSON.stringify(texts) !== JSON.stringify(expected),
				'history differs',
			);
		}
	}

	/** Engine memory without a recorded hold would never be released. */
	checkMemory(): void {
		for (const item of this.memory) {
			const [upstreamId, programId] = item.split(' ') as [
				UpstreamId,
				ProgramId,
			];
			const holds = describeProgram(
				this.#shards[programOfShard(programId)]!,
				programId,
			)?.holds;
			this.report(
				!holds?.some((hold) => hold.upstreamId === upstreamId),
				'engine memory without a hold',
			);
		}
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

	/** Adds real usage to the tree of a program and returns the turns of the tree. */
	#use(programId: ProgramId, tokens: number, turns: number): number {
		const root = this.rootOf(programId);
		const usage = this.#usage.get(root) ?? {tokens: 0, turns: 0};
		usage.tokens += tokens;
		usage.turns += turns;
		this.#usage.set(root, usage);
		this.report(usage.tokens > TREE_TOKENS, 'tokens exceeded');
		return usage.turns;
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
		this.report(
			hashHistoryContent(text) !== entry.hash,
			'history hash differs',
		);
		return text;
	}
}
