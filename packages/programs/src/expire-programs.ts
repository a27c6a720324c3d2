import {cancelCall, endProgram} from './end-program.ts';
import type {CancelledCall, ProgramResult} from './results.ts';
import type {Program, ProgramsState} from './state.ts';
import type {StepContext} from './step-context.ts';

/** Whether an ended program still has something that another process must confirm. */
export const isHolding = (program: Program): boolean =>
	program.holds.length > 0 ||
	program.returnPending === true ||
	(program.carves?.some((carve) => !carve.returned) ?? false);

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
	{state, nowMs}: StepContext,
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

/**
 * Applies `expire-programs`: ends programs whose wall time is used up, settles calls that are open
 * past their timeout, and drops old tombstones that hold nothing.
 */
export const stepExpirePrograms = (context: StepContext): ProgramResult => {
	const {state, nowMs} = context;
	const ended = [];
	const cancelled: CancelledCall[] = [];
	let dropped = 0;
	for (const program of state.programs.values()) {
		if (program.endedReason !== undefined) {
			if (isDroppable(state, program, nowMs)) {
				dropProgram(state, program);
				dropped++;
			}
		} else if (nowMs >= program.deadlineMs) {
			cancelled.push(...endProgram(context, program, 'wall-time-limit'));
			ended.push({programId: program.id, reason: 'wall-time-limit'});
		} else {
			const reason = findTimeout(context, program);
			if (reason) {
				cancelled.push(...cancelCall(context, program, reason));
			}
		}
	}

	return {outcome: 'expired', ended, cancelled, dropped};
};
