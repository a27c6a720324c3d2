import type {ProgramId, RequestId, UpstreamId} from '@marjoramcove/types';
import {describeCall, describeRecord} from './describe-call.ts';
import {type HistoryEntry, readEntries, readEntry} from './history-entries.ts';
import {findRecord} from './request-records.ts';
import type {OpenCallDescription, RequestRecord} from './results.ts';
import {isHolding, type Program, type ProgramsState} from './state.ts';

/** Public description of a program. */
export type ProgramDescription = {
	programId: ProgramId;
	callerId: string;
	labels: Record<string, string>;
	parentId?: ProgramId;
	/** `ending`: it takes no calls, but engines, its parent or its sub-agents have not confirmed. */
	phase: 'open' | 'ending' | 'ended';
	endedReason?: string;
	deadlineMs: number;
	nextTurn: number;
	tokens: {limit: number; spent: number; reserved: number; carvedOut: number};
	turns: {limit: number; spent: number; carvedOut: number};
	historyBytes: number;
	/** Prefix tokens that the engine of the last answered call had cached. */
	cachedTokens: number;
	call?: OpenCallDescription;
	holds: Array<{upstreamId: UpstreamId; heldTurn: number}>;
	children: Array<{childId: ProgramId; returned: boolean}>;
};

const findPhase = (program: Program): ProgramDescription['phase'] => {
	if (program.endedReason === undefined) {
		return 'open';
	}

	return isHolding(program) ? 'ending' : 'ended';
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
				carvedOut: program.carvedTokens,
			},
			turns: {
				limit: program.turnLimit,
				spent: program.spentTurns,
				carvedOut: program.carvedTurns,
			},
			historyBytes: program.historyBytes,
			cachedTokens: program.cachedTokens,
			call: program.call && describeCall(program, program.call),
			holds: program.holds.map(({upstreamId, turn}) => ({
				upstreamId,
				heldTurn: turn,
			})),
			children: (program.carves ?? []).map(({childId, returned}) => ({
				childId,
				returned,
			})),
		}
	);
};

/** Finds a request: its open call or its record; undefined when it is unknown. */
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
 * Entries of the conversation of a program, the oldest first. Messages of failed calls, with the role
 * `error`, are left out unless they are asked for.
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
 * Open calls with their intents, for the periodic check against the live daemons.
 *
 * @param beforeMs - only attempts that were recorded before this time. Default: all.
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

/** Holds of ended programs; each is to be released at its engine until the engine confirms. */
export const pendingReleases = (
	state: ProgramsState,
): Array<{programId: ProgramId; upstreamId: UpstreamId; heldTurn: number}> =>
	readPrograms(state, state.programs.releasing).flatMap((program) =>
		program.holds.map(({upstreamId, turn}) => ({
			programId: program.id,
			upstreamId,
			heldTurn: turn,
		})),
	);

/** Ended sub-agents whose spending the parent's shard has not confirmed; input of `return-budget`. */
export const pendingReturns = (
	state: ProgramsState,
): Array<{
	programId: ProgramId;
	childId: ProgramId;
	spentTokens: number;
	spentTurns: number;
}> =>
	readPrograms(state, state.programs.returning).flatMap((program) =>
		program.returnPending && !program.carves?.some((carve) => !carve.returned)
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

/** Sub-agents whose carved-out budget has not come back, for the check that they exist. */
export const openCarves = (
	state: ProgramsState,
): Array<{programId: ProgramId; childId: ProgramId; parentEnded: boolean}> =>
	readPrograms(state, state.programs.carving).flatMap((program) =>
		(program.carves ?? [])
			.filter((carve) => !carve.returned)
			.map(({childId}) => ({
				programId: program.id,
				childId,
				parentEnded: program.endedReason !== undefined,
			})),
	);

/**
 * Whether the engine memory of a program is in use or may be used again. Memory of any other program
 * is to be released.
 */
export const isProgramLive = (
	state: ProgramsState,
	programId: ProgramId,
): boolean => {
	const program = state.programs.get(programId);
	return program !== undefined && program.endedReason === undefined;
};

/** First byte of the history stream that a program still refers to; older segments can be deleted. */
export const historyFloor = (state: ProgramsState): number => {
	let floor = state.historyLengthBytes;
	for (const program of readPrograms(state, state.programs.keys())) {
		if (program.entryCount > 0) {
			floor = Math.min(floor, readEntry(program, state.texts, 0).offset);
		}
	}

	return floor;
};
