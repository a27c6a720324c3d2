import type {ProgramId} from '@marjoramcove/types';
import {cancelCall, endProgram} from './end-program.ts';
import type {CancelledCall, ProgramResult} from './results.ts';
import {
	isAwaitingConfirmation,
	type Program,
	type ProgramsState,
} from './state.ts';
import type {CommandOf, StepContext} from './step-context.ts';

const isDroppable = (
	state: ProgramsState,
	program: Program,
	nowMs: number,
): boolean =>
	program.endedAtMs !== undefined &&
	nowMs - program.endedAtMs > state.limits.tombstoneRetentionMs &&
	!isAwaitingConfirmation(program);

const dropProgram = (state: ProgramsState, program: Program): void => {
	state.programs.delete(program.id);
	if (program.operationKey !== undefined) {
		state.operations.delete(program.operationKey);
	}
};

/** Returns the reason for settling an open call that its dispatcher did not settle in time. */
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

/** Drops the tombstones whose retention time is over; returns their number. */
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
		} else if (
			program?.endedAtMs !== undefined &&
			!isAwaitingConfirmation(program)
		) {
			programs.tombstones.add(programId, program.endedAtMs);
		}
	}

	return dropped;
};

/** Whether an open program has reached its wall-time limit. */
const isPastDeadline = (program: Program, nowMs: number): boolean =>
	program.endedReason === undefined && nowMs >= program.deadlineMs;

/** Takes the due programs from the index; a program that is due later in the same second is put back. */
const takeDuePrograms = (context: StepContext): ProgramId[] => {
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

	// Sorted, because the index may be in another order on a replica that restored a snapshot.
	return [...due].sort((a, b) => (a < b ? -1 : 1));
};

/**
 * Applies `expire-programs`: ends programs that reached their wall-time limit, settles open calls that
 * exceeded their timeout, and drops old tombstones that await no confirmation.
 */
export const stepExpirePrograms = (
	context: StepContext,
	{endedProgramRetentionMs}: CommandOf<'expire-programs'>,
): ProgramResult => {
	const {state, nowMs} = context;
	const {limits} = state;
	limits.tombstoneRetentionMs =
		endedProgramRetentionMs ?? limits.tombstoneRetentionMs;
	// It must not decrease, because a longer retention does not restore dropped programs.
	state.droppedBeforeMs = Math.max(
		state.droppedBeforeMs,
		nowMs - limits.tombstoneRetentionMs,
	);
	const ended = [];
	const cancelled: CancelledCall[] = [];
	const dropped = dropTombstones(context);
	for (const programId of takeDuePrograms(context)) {
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

/** Time by which the removal of old tombstones may be delayed, so that they are dropped in batches. */
const MAX_TOMBSTONE_DELAY_MS = 60_000;

/**
 * Whether an `expire-programs` command at this time would have an effect. Only programs that the index
 * lists as due are checked.
 *
 * @param endedProgramRetentionMs - the retention that the command will carry. Default: the current one.
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
			nowMs - endedProgramRetentionMs - MAX_TOMBSTONE_DELAY_MS,
		).length > 0
	);
};
