import {readEntry} from './history-entries.ts';
import type {StoredRecord} from './request-records.ts';
import type {OpenCallDescription, RequestRecord} from './results.ts';
import type {OpenCall, Program, ProgramsState} from './state.ts';

/** Describes the open call of a program. */
export const describeCall = (
	program: Program,
	call: OpenCall,
): OpenCallDescription => ({
	programId: program.id,
	requestId: call.requestId,
	kind: call.kind,
	idempotent: call.idempotent,
	turn: call.turn,
	reservedTokens: call.reservedTokens,
	timeoutMs: call.timeoutMs,
	attemptAtMs: call.attemptAtMs,
	intent: {...call.intent},
	dispatcherId: call.intent.dispatcherId,
	dispatcherIncarnation: call.intent.dispatcherIncarnation,
	upstreamId: call.intent.upstreamId,
});

/** Converts a stored record to its public form. */
export const describeRecord = (
	state: ProgramsState,
	program: Program,
	record: StoredRecord,
): RequestRecord => {
	const text = state.texts[record.textIndex]!;
	return {
		turn: record.turn,
		attempt: record.attempt,
		kind: record.kind,
		idempotent: record.idempotent,
		outcome: record.answered
			? {status: 'answered', verdict: 'ran', contentType: text}
			: {
					status: 'failed',
					verdict: record.verdict,
					reason: text,
					message: '',
				},
		...(record.entryIndex !== undefined && {
			answer: readEntry(program, state.texts, record.entryIndex),
		}),
	};
};
