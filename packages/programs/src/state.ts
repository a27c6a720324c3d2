import type {
	CallerId,
	ProgramId,
	RequestId,
	UpstreamId,
} from '@marjoramcove/types';
import type {CallKind, Intent, ProgramBudget} from './commands.ts';
import {deduplicateText} from './deduplicate-text.ts';
import {ProgramTable} from './program-table.ts';
import {createTextTable, type TextTable} from './text-table.ts';

/** Limits of the state machine; they must be the same on all replicas of a shard. */
export type ProgramLimits = {
	/** Maximum size of the history of one program. */
	historySizeBytes: number;
	/**
	 * Newest records of calls, and newest records of refusals, retained per program. Records of
	 * non-idempotent calls are always retained.
	 */
	recordsPerProgram: number;
	/** The same limit for an ended program. */
	recordsPerEndedProgram: number;
	/** Dropped records after which a refusal ends the program; bounds the memory of a caller in a loop. */
	forgottenPerProgram: number;
	/** Attempts of one call, including the first. */
	attemptsPerCall: number;
	/** Sub-agents that one program may start in total. */
	childrenPerProgram: number;
	/** Time after which an ended program that awaits no confirmation is dropped. */
	tombstoneRetentionMs: number;
	/** Time by which an open call may exceed its timeout before the state machine settles it. */
	callGraceMs: number;
};

/** Defaults of {@link ProgramLimits}. */
export const DEFAULT_PROGRAM_LIMITS: ProgramLimits = {
	historySizeBytes: 4 * 1024 * 1024,
	recordsPerProgram: 16,
	recordsPerEndedProgram: 4,
	forgottenPerProgram: 4000,
	attemptsPerCall: 8,
	childrenPerProgram: 1000,
	tombstoneRetentionMs: 600_000,
	callGraceMs: 5000,
};

/** An accepted call that has not been settled. */
export type OpenCall = {
	requestId: RequestId;
	bodyHash: number;
	kind: CallKind;
	idempotent: boolean;
	turn: number;
	reservedTokens: number;
	timeoutMs: number;
	/** Time at which the current attempt was recorded. */
	attemptAtMs: number;
	intent: Intent;
	/** Number of history entries before the request messages were appended. */
	entriesBefore: number;
};

/**
 * An engine that may hold memory for the program. `turn` is a sequence number of the last attempt that
 * used it; it combines the turn and the attempt.
 */
export type Hold = {upstreamId: UpstreamId; turn: number};

/**
 * Part of the budget allocated to a sub-agent. It is retained after its return, so that a delayed
 * duplicate of the command has no effect.
 */
export type ChildBudget = {
	childId: ProgramId;
	tokens: number;
	turns: number;
	returned: boolean;
};

export type Program = {
	id: ProgramId;
	callerId: CallerId;
	/** Canonical JSON of the labels; one string takes less memory than an object. */
	labels: string;
	parentId?: ProgramId;
	/** Hash of the opening command, to distinguish its repetition from another command with the same id. */
	openHash: number;
	operationKey?: string;
	tokenLimit: number;
	spentTokens: number;
	childTokens: number;
	turnLimit: number;
	spentTurns: number;
	childTurns: number;
	deadlineMs: number;
	nextTurn: number;
	historyBytes: number;
	cachedTokens: number;
	/** Packed rows; see `request-records.ts`. */
	records: string;
	/** Packed hashes of the request ids whose records were dropped; see `request-records.ts`. */
	droppedHashes: string;
	/** Packed entries; see `history-entries.ts`. */
	entries: string;
	entryCount: number;
	/** End offset of the last entry in the history stream. */
	entriesEnd: number;
	call?: OpenCall;
	holds: Hold[];
	childBudgets?: ChildBudget[];
	/** Set when the program has ended. */
	endedReason?: string;
	endedAtMs?: number;
	/** Whether the parent's shard has yet to confirm the returned budget of this ended sub-agent. */
	returnPending?: boolean;
};

/**
 * Creates a program without a budget, a call or a history. All optional fields are present, so that
 * all programs have the same hidden class.
 */
export const createEmptyProgram = (id: ProgramId): Program => ({
	id,
	callerId: '' as CallerId,
	labels: '{}',
	parentId: undefined,
	openHash: 0,
	operationKey: undefined,
	tokenLimit: 0,
	spentTokens: 0,
	childTokens: 0,
	turnLimit: 0,
	spentTurns: 0,
	childTurns: 0,
	deadlineMs: 0,
	nextTurn: 1,
	historyBytes: 0,
	cachedTokens: 0,
	records: '',
	droppedHashes: '',
	entries: '',
	entryCount: 0,
	entriesEnd: 0,
	call: undefined,
	holds: [],
	childBudgets: undefined,
	endedReason: undefined,
	endedAtMs: undefined,
	returnPending: undefined,
});

/** Whether an ended program awaits the confirmation of an engine, its parent or a sub-agent. */
export const isAwaitingConfirmation = (program: Program): boolean =>
	program.holds.length > 0 ||
	program.returnPending === true ||
	(program.childBudgets?.some((child) => !child.returned) ?? false);

/** State of one shard. */
export type ProgramsState = {
	shard: number;
	limits: ProgramLimits;
	/** Latest time of any command; it never decreases. */
	clockMs: number;
	/** Programs that ended before this time may have been dropped, so older commands are refused. */
	droppedBeforeMs: number;
	/** Length of the history stream of the shard. */
	historyLengthBytes: number;
	texts: TextTable;
	programs: ProgramTable;
	/** Programs by the key of the operation that opened them. */
	operations: Map<string, ProgramId>;
};

/**
 * Creates the state of a shard without programs.
 *
 * @example
 * ```ts
 * let state = createProgramsState(0);
 * ```
 */
export const createProgramsState = (
	shard: number,
	limits: Partial<ProgramLimits> = {},
): ProgramsState => ({
	shard,
	limits: {...DEFAULT_PROGRAM_LIMITS, ...limits},
	clockMs: 0,
	droppedBeforeMs: 0,
	historyLengthBytes: 0,
	texts: createTextTable(),
	programs: new ProgramTable(),
	operations: new Map(),
});

/** Returns the budget with which the program was opened; the wall time is what remains at `nowMs`. */
export const readBudget = (program: Program, nowMs: number): ProgramBudget => ({
	tokens: program.tokenLimit,
	turns: program.turnLimit,
	wallTimeMs: Math.max(0, program.deadlineMs - nowMs),
});

/** Copies an intent and deduplicates its texts; see {@link deduplicateText}. */
export const deduplicateIntent = (intent: Intent): Intent => ({
	attempt: intent.attempt,
	upstreamId: deduplicateText(intent.upstreamId),
	dispatcherId: deduplicateText(intent.dispatcherId),
	dispatcherIncarnation: deduplicateText(intent.dispatcherIncarnation),
});
