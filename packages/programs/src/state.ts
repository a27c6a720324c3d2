import type {
	CallerId,
	ProgramId,
	RequestId,
	UpstreamId,
} from '@marjoramcove/types';
import type {CallKind, Intent, ProgramBudget} from './commands.ts';
import {ProgramTable} from './program-table.ts';
import {shareText} from './share-text.ts';
import {createTextTable, type TextTable} from './text-table.ts';

/** Limits of the machine; the same on all replicas of a shard. */
export type ProgramLimits = {
	/** Largest history of one program. */
	historySizeBytes: number;
	/** Newest request records of idempotent calls kept per program. */
	recordsPerProgram: number;
	/** Request records of idempotent calls kept for an ended program. */
	recordsPerEndedProgram: number;
	/** Requests whose records may be dropped before the program ends; bounds the memory of a loop. */
	forgottenPerProgram: number;
	/** Attempts of one call, the first included. */
	attemptsPerCall: number;
	/** Sub-agents of one program over its life. */
	childrenPerProgram: number;
	/** Time after which an ended program with nothing held is dropped. */
	tombstoneRetentionMs: number;
	/** Time that an open call may exceed its timeout before the machine settles it. */
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

/** A call that was accepted and has not been settled. */
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
	/** Number of history entries before the request text was appended. */
	entriesBefore: number;
};

/** An engine that may hold memory for the program, and a number for the last attempt that used it. */
export type Hold = {upstreamId: UpstreamId; turn: number};

/** Part of the budget given to a sub-agent; `returned` stays so that a late copy has no effect. */
export type Carve = {
	childId: ProgramId;
	tokens: number;
	turns: number;
	returned: boolean;
};

export type Program = {
	id: ProgramId;
	callerId: CallerId;
	/** Canonical JSON of the labels; one string is smaller than an object. */
	labels: string;
	parentId?: ProgramId;
	/** Hash of the opening command, to tell a resent one from another one with the same id. */
	openHash: number;
	operationKey?: string;
	tokenLimit: number;
	spentTokens: number;
	carvedTokens: number;
	turnLimit: number;
	spentTurns: number;
	carvedTurns: number;
	deadlineMs: number;
	nextTurn: number;
	historyBytes: number;
	cachedTokens: number;
	/** Packed rows; see `request-records.ts`. */
	records: string;
	/** Hashes of the request ids whose records were dropped. */
	forgotten: string;
	/** Packed entries; see `history-entries.ts`. */
	entries: string;
	entryCount: number;
	/** Offset in the history stream after the last entry. */
	entriesEnd: number;
	call?: OpenCall;
	holds: Hold[];
	carves?: Carve[];
	/** Set when the program ended. */
	endedReason?: string;
	endedAtMs?: number;
	/** Whether the parent's shard has not confirmed the returned budget of this ended sub-agent. */
	returnPending?: boolean;
};

/** A program without a budget, a call or a history; all optional fields are present, so that all programs have one shape. */
export const createEmptyProgram = (id: ProgramId): Program => ({
	id,
	callerId: '' as CallerId,
	labels: '{}',
	parentId: undefined,
	openHash: 0,
	operationKey: undefined,
	tokenLimit: 0,
	spentTokens: 0,
	carvedTokens: 0,
	turnLimit: 0,
	spentTurns: 0,
	carvedTurns: 0,
	deadlineMs: 0,
	nextTurn: 1,
	historyBytes: 0,
	cachedTokens: 0,
	records: '',
	forgotten: '',
	entries: '',
	entryCount: 0,
	entriesEnd: 0,
	call: undefined,
	holds: [],
	carves: undefined,
	endedReason: undefined,
	endedAtMs: undefined,
	returnPending: undefined,
});

/** Whether an ended program still has something that another process must confirm. */
export const isHolding = (program: Program): boolean =>
	program.holds.length > 0 ||
	program.returnPending === true ||
	(program.carves?.some((carve) => !carve.returned) ?? false);

/** State of one shard. */
export type ProgramsState = {
	shard: number;
	limits: ProgramLimits;
	/** Largest time seen in a command. */
	clockMs: number;
	/** Programs that ended before this time may have been dropped; also the oldest accepted command. */
	droppedBeforeMs: number;
	/** Length of the history stream of the shard. */
	historyLengthBytes: number;
	texts: TextTable;
	programs: ProgramTable;
	/** Program opened by an operation of a caller. */
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

/** Budget as the program was opened with; the wall time is the one left at `nowMs`. */
export const readBudget = (program: Program, nowMs: number): ProgramBudget => ({
	tokens: program.tokenLimit,
	turns: program.turnLimit,
	wallTimeMs: Math.max(0, program.deadlineMs - nowMs),
});

/** Copy of an intent whose texts are shared with other programs. */
export const shareIntent = (intent: Intent): Intent => ({
	attempt: intent.attempt,
	upstreamId: shareText(intent.upstreamId),
	dispatcherId: shareText(intent.dispatcherId),
	dispatcherIncarnation: shareText(intent.dispatcherIncarnation),
});
