import type {ProgramId} from '@marjoramcove/types';
import {cancelCall, endProgram} from './end-program.ts';
import type {CancelledCall, ProgramResult} from './results.ts';
import {isHolding, type Program, type ProgramsState} from './state.ts';
import type {CommandOf, StepContext} from './step-context.ts';

const isDroppable = (
	state: ProgramsState,
	program: Program,
	nowMs: number,
): boolean =>
	program.endedAtMs !== undefined &&
	nowMs - program.endedAtMs > state.limits.tombstoneRetentionMs &&
	!isHolding(program);

const dropProgram = (state: ProgramsState, program: Program): void => {
	state.programs.delete(program.id);
	if (program.operationKey !== undefined) {
		state.operations.delete(program.operationKey);
	}
};

/** Reason with which an open call is settled when its dispatcher did not do so in time. */
const findTimeout = (
	{state, nowMs}: Pick<StepContext, 'nowMs' | 'state'>,
	{call}: Program,
): string | undefined => {
	if (
		!call ||
		nowMs < call.attemptAtMs + call.timeoutMs + state.limits.callGraceMs
	) {
		return undefined;
	}

	return call.kind === 'tool' ? 'tool-timeout' : 'call-timeout';
};

/** Drops the tombstones that are old enough; returns their number. */
const dropTombstones = ({state, nowMs}: StepContext): number => {
	const {programs, limits} = state;
	let dropped = 0;
	for (const programId of programs.tombstones.take(
		nowMs - limits.tombstoneRetentionMs,
	)) {
		const program = programs.get(programId);
		if (program && isDroppable(state, program, nowMs)) {
			dropProgram(state, program);
			dropped++;
		} else if (program?.endedAtMs !== undefined && !isHolding(program)) {
			programs.tombstones.add(programId, program.endedAtMs);
		}
	}

	return dropped;
};

/** Whether the wall time of an open program is used up. */
const isPastDeadline = (program: Program, nowMs: number): boolean =>
	program.endedReason === undefined && nowMs >= program.deadlineMs;

/** Takes the programs with something due; one that is due later in the same second is put back. */
const takeDue = (context: StepContext): ProgramId[] => {
	const {state, nowMs} = context;
	const {programs, limits} = state;
	const due = new Set<ProgramId>();
	for (const programId of programs.deadlines.take(nowMs)) {
		const program = programs.get(programId);
		if (program && isPastDeadline(program, nowMs)) {
			due.add(programId);
		} else if (program?.endedReason === undefined && program) {
			programs.deadlines.add(programId, program.deadlineMs);
		}
	}

	for (const programId of programs.listTimeouts(nowMs - limits.callGraceMs)) {
		if (findTimeout(context, programs.get(programId)!)) {
			due.add(programId);
		}
	}

	// The order of the ids is the same on all replicas, also after a restored snapshot.
	return [...due].sort((a, b) => (a < b ? -1 : 1));
};

/**
 * Applies `expire-programs`: ends programs whose wall time is used up, settles calls that are open
 * past their timeout, and drops old tombstones that hold nothing.
 */
export const stepExpirePrograms = (
	context: StepContext,
	{endedProgramRetentionMs}: CommandOf<'expire-programs'>,
): ProgramResult => {
	const {state, nowMs} = context;
	const {limits} = state;
	limits.tombstoneRetentionMs =
		endedProgramRetentionMs ?? limits.tombstoneRetentionMs;
	// It never goes back: a longer retention does not bring dropped programs back.
	state.droppedBeforeMs = Math.max(
		state.droppedBeforeMs,
		nowMs - limits.tombstoneRetentionMs,
	);
	const ended = [];
	const cancelled: CancelledCall[] = [];
	const dropped = dropTombstones(context);
	for (const programId of takeDue(context)) {
		const program = state.programs.edit(programId)!;
		if (nowMs >= program.deadlineMs) {
			cancelled.push(...endProgram(context, program, 'wall-time-limit'));
			ended.push({programId, reason: 'wall-time-limit'});
		} else {
			const reason = findTimeout(context, program);
			if (reason) {
				cancelled.push(...cancelCall(context, program, reason));
			}
		}
	}

	return {outcome: 'expired', ended, cancelled, dropped};
};

/** Time by which old tombstones may be late, so that they are dropped together. */
const TOMBSTONE_SLACK_MS = 60_000;

/**
 * Whether an `expire-programs` at this time would change something. Only programs of which something
 * may be due are looked at.
 *
 * @param endedProgramRetentionMs - the retention that the command will carry. Default: the present one.
 * @example
 * ```ts
 * if (isExpiryDue(state, nowMs)) propose({type: 'expire-programs', nowMs});
 * ```
 */
export const isExpiryDue = (
	state: ProgramsState,
	nowMs: number,
	endedProgramRetentionMs = state.limits.tombstoneRetentionMs,
): boolean => {
	const {programs, limits} = state;
	const isAnyDue = (
		programIds: ProgramId[],
		isDue: (program: Program) => boolean,
	): boolean =>
		programIds.some((programId) => {
			const program = programs.get(programId);
			return program !== undefined && isDue(program);
		});

	return (
		isAnyDue(programs.deadlines.list(nowMs), (program) =>
			isPastDeadline(program, nowMs),
		) ||
		isAnyDue(
			programs.listTimeouts(nowMs - limits.callGraceMs),
			(program) => findTimeout({state, nowMs}, program) !== undefined,
		) ||
		programs.tombstones.list(
			nowMs - endedProgramRetentionMs - TOMBSTONE_SLACK_MS,
		).length > 0
	);
};
