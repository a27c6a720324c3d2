import {
	describeProgram,
	encodeHistoryText,
	hashHistoryContent,
	historyEntries,
	type HistoryText,
	type OpenCallDescription,
	type ProgramCommand,
	shardOfProgram,
	type ProgramResult,
	type ProgramsState,
} from '@marjoramcove/programs';
import type {ProgramId, UpstreamId} from '@marjoramcove/types';

/** The command with this type. */
export type CommandOf<Type extends ProgramCommand['type']> = Extract<
	ProgramCommand,
	{type: Type}
>;

/** What actually happened to a call, tracked independently of the state machine. */
type CallFacts = {
	runs: number;
	idempotent: boolean;
	accepted: boolean;
	reportedNotRun: boolean;
	messages: string[];
	answer?: string;
};

/** Budget of each root program including its sub-agents. */
export const TREE_TOKENS = 400;
export const TREE_TURNS = 12;

/** Test oracle: tracks what actually happened and compares the program state machine with it. */
export class ProgramOracle {
	readonly problems = new Set<string>();
	/** Texts of the history of each opened program. */
	readonly history = new Map<ProgramId, string[]>();
	/** Engine memory in use, as `<upstream> <program>`. */
	readonly memory = new Set<string>();
	/** Root program of each sub-agent. */
	readonly roots = new Map<ProgramId, ProgramId>();
	readonly #shards: ProgramsState[];
	readonly #historyStreams = [Buffer.alloc(0), Buffer.alloc(0)];
	readonly #callFacts = new Map<string, CallFacts>();
	readonly #usage = new Map<string, {tokens: number; turns: number}>();
	readonly #deadlines = new Map<string, number>();

	constructor(shards: ProgramsState[]) {
		this.#shards = shards;
	}

	/** Appends texts to the history stream of a shard. */
	appendTexts(shard: number, texts: HistoryText[]): void {
		this.#historyStreams[shard] = Buffer.concat([
			this.#historyStreams[shard]!,
			...texts.map((text) => encodeHistoryText(text)),
		]);
	}

	/** Records an opened program; the first deadline of a program tree applies to the whole tree. */
	observeOpen(programId: ProgramId, deadlineMs: number): void {
		this.history.set(programId, this.history.get(programId) ?? []);
		const root = this.rootOf(programId);
		this.#deadlines.set(root, this.#deadlines.get(root) ?? deadlineMs);
	}

	/** Records that a dispatcher executes a call, and checks that it may. */
	observeRun(call: OpenCallDescription): void {
		const facts = this.#callFacts.get(`${call.programId} ${call.requestId}`)!;
		facts.runs++;
		this.report(facts.runs > 1 && !facts.idempotent, 'ran twice');
		this.report(facts.reportedNotRun, 'ran after not-run was reported');
		const deadline = this.#deadlines.get(this.rootOf(call.programId))!;
		this.report(
			call.attemptAtMs + call.timeoutMs > deadline,
			'wall time exceeded',
		);
		this.#addUsage(call.programId, call.reservedTokens, 0);
		if (call.kind === 'model') {
			this.memory.add(`${call.upstreamId} ${call.programId}`);
		}
	}

	/** Returns the root program of a sub-agent, or the program itself. */
	rootOf(programId: ProgramId): ProgramId {
		return this.roots.get(programId) ?? programId;
	}

	/** Compares the result of an accept-call command with what happened before. */
	observeAccept(
		command: CommandOf<'accept-call'>,
		result: ProgramResult,
	): void {
		const facts = this.#factsOf(command);
		if (result.outcome === 'accepted') {
			this.report(facts.reportedNotRun, 'accepted after not-run was reported');
			this.report(facts.accepted, 'accepted twice');
			facts.accepted = true;
			this.history.get(command.programId)?.push(...facts.messages);
			const turns = this.#addUsage(command.programId, 0, 1);
			this.report(turns > TREE_TURNS, 'turns exceeded');
		} else if (result.outcome === 'recorded') {
			const {answer, outcome} = result.record;
			this.report(!facts.accepted, 'record of a call that was not accepted');
			this.report(
				outcome.status === 'answered' &&
					this.#readHistoryText(command.programId, answer) !== facts.answer,
				'wrong answer in the record',
			);
		} else if (result.outcome === 'refused' && result.verdict === 'not-run') {
			this.report(facts.accepted, 'refused after it was accepted');
			facts.reportedNotRun = true;
		}
	}

	/** Records the changes of the history by a settled call. */
	observeSettle(
		command: CommandOf<'settle-call'>,
		result: ProgramResult,
	): void {
		if (result.outcome !== 'settled' || result.repeated) {
			return;
		}

		const facts = this.#callFacts.get(
			`${command.programId} ${command.requestId}`,
		)!;
		const history = this.history.get(command.programId)!;
		if (command.outcome.verdict === 'not-run') {
			history.splice(-facts.messages.length);
			facts.reportedNotRun = true;
		} else if (command.answer) {
			facts.answer = command.answer.content;
			history.push(facts.answer);
		}
	}

	/** Adds the problem if the condition holds. */
	report(isProblem: boolean, problem: string): void {
		if (isProblem) {
			this.problems.add(problem);
		}
	}

	/** Compares the history entries of a program with the expected history. */
	checkHistory(programId: ProgramId): void {
		const state = this.#shards[shardOfProgram(programId)]!;
		const expected = this.history.get(programId);
		if (expected && describeProgram(state, programId)) {
			const texts = historyEntries(state, programId).map((entry) =>
				this.#readHistoryText(programId, entry),
			);
			this.report(
				JSON.stringify(texts) !== JSON.stringify(expected),
				'history differs',
			);
		}
	}

	/** Checks that all engine memory has a recorded hold; without one it would never be released. */
	checkMemory(): void {
		for (const item of this.memory) {
			const [upstreamId, programId] = item.split(' ') as [
				UpstreamId,
				ProgramId,
			];
			const holds = describeProgram(
				this.#shards[shardOfProgram(programId)]!,
				programId,
			)?.holds;
			this.report(
				!holds?.some((hold) => hold.upstreamId === upstreamId),
				'engine memory without a hold',
			);
		}
	}

	#factsOf(command: CommandOf<'accept-call'>): CallFacts {
		const key = `${command.programId} ${command.requestId}`;
		const facts = this.#callFacts.get(key) ?? {
			runs: 0,
			idempotent: command.idempotent,
			accepted: false,
			reportedNotRun: false,
			messages: command.messages.map((message) => message.content),
		};
		this.#callFacts.set(key, facts);
		return facts;
	}

	/** Adds actual usage to the tree of a program and returns the turns of the tree. */
	#addUsage(programId: ProgramId, tokens: number, turns: number): number {
		const root = this.rootOf(programId);
		const usage = this.#usage.get(root) ?? {tokens: 0, turns: 0};
		usage.tokens += tokens;
		usage.turns += turns;
		this.#usage.set(root, usage);
		this.report(usage.tokens > TREE_TOKENS, 'tokens exceeded');
		return usage.turns;
	}

	#readHistoryText(
		programId: ProgramId,
		entry?: {offset: number; lengthBytes: number; hash: string},
	): string | undefined {
		if (!entry) {
			return undefined;
		}

		const text = this.#historyStreams
			[shardOfProgram(programId)]!.subarray(
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
