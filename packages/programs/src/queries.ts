import type {ProgramId, RequestId, UpstreamId} from '@marjoramcove/types';
import {describeCall, describeRecord} from './describe-call.ts';
import {type HistoryEntry, readEntries, readEntry} from './history-entries.ts';
import {findRecord} from './request-records.ts';
import type {OpenCallDescription, RequestRecord} from './results.ts';
import {
	isAwaitingConfirmation,
	type Program,
	type ProgramsState,
} from './state.ts';

/** Description of a program for callers and operators. */
export type ProgramDescription = {
	programId: ProgramId;
	callerId: string;
	labels: Record<string, string>;
	parentId?: ProgramId;
	/** `ending`: no more calls are accepted, but an engine, the parent or a sub-agent has not confirmed the end. */
	phase: 'open' | 'ending' | 'ended';
	endedReason?: string;
	deadlineMs: number;
	nextTurn: number;
	tokens: {limit: number; spent: number; reserved: number; carvedOut: number};
	turns: {limit: number; spent: number; carvedOut: number};
	historyBytes: number;
	/** Prompt prefix tokens that were cached at the engine of the last answered call. */
	cachedTokens: number;
	call?: OpenCallDescription;
	holds: Array<{upstreamId: UpstreamId; heldTurn: number}>;
	children: Array<{childId: ProgramId; returned: boolean}>;
};

const findPhase = (program: Program): ProgramDescription['phase'] => {
	if (program.endedReason === undefined) {
		return 'open';
	}

	return isAwaitingConfirmation(program) ? 'ending' : 'ended';
};

/**
 * Describes a program; undefined when it is unknown.
 *
 * @example
 * ```ts
 * describeProgram(state, programId)?.phase; // 'open'
 * ```
 */
export const describeProgram = (
	state: ProgramsState,
	programId: ProgramId,
): ProgramDescription | undefined => {
	const program = state.programs.get(programId);
	return (
		program && {
			programId,
			callerId: program.callerId,
			labels: JSON.parse(program.labels) as Record<string, string>,
			parentId: program.parentId,
			phase: findPhase(program),
			endedReason: program.endedReason,
			deadlineMs: program.deadlineMs,
			nextTurn: program.nextTurn,
			tokens: {
				limit: program.tokenLimit,
				spent: program.spentTokens,
				reserved: program.call?.reservedTokens ?? 0,
				carvedOut: program.childTokens,
			},
			turns: {
				limit: program.turnLimit,
				spent: program.spentTurns,
				carvedOut: program.childTurns,
			},
			historyBytes: program.historyBytes,
			cachedTokens: program.cachedTokens,
			call: program.call && describeCall(program, program.call),
			holds: program.holds.map(({upstreamId, turn}) => ({
				upstreamId,
				heldTurn: turn,
			})),
			children: (program.childBudgets ?? []).map(({childId, returned}) => ({
				childId,
				returned,
			})),
		}
	);
};

/** Finds the open call or the record of a request; undefined when it is unknown. */
export const findRequest = (
	state: ProgramsState,
	programId: ProgramId,
	requestId: RequestId,
):
	| {status: 'open'; call: OpenCallDescription}
	| {status: 'settled'; record: RequestRecord}
	| undefined => {
	const program = state.programs.get(programId);
	if (program?.call?.requestId === requestId) {
		return {status: 'open', call: describeCall(program, program.call)};
	}

	const record = program && findRecord(program.records, requestId);
	return record
		? {status: 'settled', record: describeRecord(state, program, record)}
		: undefined;
};

/**
 * Lists the history entries of a program, oldest first. Messages of failed calls, which have the role
 * `error`, are omitted by default.
 */
export const historyEntries = (
	state: ProgramsState,
	programId: ProgramId,
	{withErrors = false}: {withErrors?: boolean} = {},
): HistoryEntry[] => {
	const program = state.programs.get(programId);
	return program
		? readEntries(program, state.texts).filter(
				(entry) => withErrors || entry.role !== 'error',
			)
		: [];
};

const readPrograms = (
	state: ProgramsState,
	programIds: Iterable<ProgramId>,
): Program[] =>
	Array.from(programIds, (programId) => state.programs.get(programId)!);

/**
 * Lists open calls with their intents, for the periodic check against the live daemons.
 *
 * @param beforeMs - lists only attempts that were recorded before this time. Default: all.
 */
export const openIntents = (
	state: ProgramsState,
	beforeMs = Number.POSITIVE_INFINITY,
): OpenCallDescription[] => {
	return readPrograms(state, state.programs.openCalls.keys()).flatMap(
		(program) =>
			program.call!.attemptAtMs < beforeMs
				? [describeCall(program, program.call!)]
				: [],
	);
};

/** Lists the holds of ended programs; the release is retried at each engine until the engine confirms it. */
export const pendingReleases = (
	state: ProgramsState,
): Array<{programId: ProgramId; upstreamId: UpstreamId; heldTurn: number}> =>
	readPrograms(state, state.programs.pendingReleases).flatMap((program) =>
		program.holds.map(({upstreamId, turn}) => ({
			programId: program.id,
			upstreamId,
			heldTurn: turn,
		})),
	);

/** Lists ended sub-agents whose spending the parent's shard has not confirmed, as input of `return-budget`. */
export const pendingReturns = (
	state: ProgramsState,
): Array<{
	programId: ProgramId;
	childId: ProgramId;
	spentTokens: number;
	spentTurns: number;
}> =>
	readPrograms(state, state.programs.pendingReturns).flatMap((program) =>
		program.returnPending &&
		!program.childBudgets?.some((child) => !child.returned)
			? [
					{
						programId: program.parentId!,
						childId: program.id,
						spentTokens: program.spentTokens,
						spentTurns: program.spentTurns,
					},
				]
			: [],
	);

/** Lists sub-agents whose budget has not been returned, for the check that they exist. */
export const openChildBudgets = (
	state: ProgramsState,
): Array<{programId: ProgramId; childId: ProgramId; parentEnded: boolean}> =>
	readPrograms(state, state.programs.openChildBudgets).flatMap((program) =>
		(program.childBudgets ?? [])
			.filter((child) => !child.returned)
			.map(({childId}) => ({
				programId: program.id,
				childId,
				parentEnded: program.endedReason !== undefined,
			})),
	);

/**
 * Whether the engine memory of a program is in use or may be used again. The memory of other programs
 * must be released.
 */
export const isProgramLive = (
	state: ProgramsState,
	programId: ProgramId,
): boolean => {
	const program = state.programs.get(programId);
	return program !== undefined && program.endedReason === undefined;
};

/** Returns the first offset of the history stream that any program refers to; older segments can be deleted. */
export const findHistoryStartOffset = (state: ProgramsState): number => {
	let firstOffset = state.historyLengthBytes;
	for (const program of readPrograms(state, state.programs.keys())) {
		if (program.entryCount > 0) {
			firstOffset = Math.min(
				firstOffset,
				readEntry(program, state.texts, 0).offset,
			);
		}
	}

	return firstOffset;
};
