import {assertInvariant} from '@marjoramcove/errors';
import type {ProgramId} from '@marjoramcove/types';
import {assertBudget} from './budget.ts';
import {countDroppedRecords, countRecords} from './request-records.ts';
import type {ProgramsState} from './state.ts';
import type {StepContext} from './step-context.ts';

/** Asserts that the history stream grew by exactly the length of the appended texts. */
export const assertHistoryGrowth = (
	{state, appended}: StepContext,
	historyBefore: number,
	event: unknown,
): void => {
	let expected = historyBefore;
	for (const text of appended) {
		expected += Buffer.byteLength(text.content);
	}

	assertInvariant(
		state.historyLengthBytes === expected,
		'history-appended-once',
		event,
		`the history stream has ${state.historyLengthBytes} bytes, expected ${expected}`,
	);
};

/** Asserts the invariants of one program. */
export const assertProgram = (
	state: ProgramsState,
	programId: ProgramId,
	event: unknown,
): void => {
	const program = state.programs.get(programId);
	if (!program) {
		return;
	}

	assertBudget(program, event);
	const {call} = program;
	assertInvariant(
		!call || program.endedReason === undefined,
		'ended-program-has-no-open-call',
		event,
	);
	assertInvariant(
		!call || call.turn === program.nextTurn - 1,
		'open-call-has-last-turn',
		event,
	);
	assertInvariant(
		call?.kind !== 'model' ||
			program.holds.some((hold) => hold.upstreamId === call.intent.upstreamId),
		'hold-recorded-before-use',
		event,
	);
	assertInvariant(
		!call || call.attemptAtMs + call.timeoutMs <= program.deadlineMs,
		'timeout-within-wall-time',
		event,
	);
	const recordCount =
		countRecords(program) + countDroppedRecords(program) + (call ? 1 : 0);
	assertInvariant(
		recordCount >= program.nextTurn - 1,
		'every-turn-has-a-record',
		event,
		`${recordCount} records (including dropped ones and the open call) for ${program.nextTurn - 1} turns`,
	);
};
