import {freeTokens, isAmount} from './budget.ts';
import {describeRecord} from './describe-call.ts';
import {truncateEntries} from './history-entries.ts';
import {
	appendRecord,
	findRecord,
	hashRequestId,
	type StoredRecord,
} from './request-records.ts';
import type {ProgramResult} from './results.ts';
import type {OpenCall, Program} from './state.ts';
import {
	appendHistory,
	type CommandOf,
	refuse,
	type StepContext,
	refuseUnknownProgram,
} from './step-context.ts';
import {HISTORY_ROLES, internText} from './text-table.ts';

type SettleCall = CommandOf<'settle-call'>;

/** Charges the used tokens; returns the tokens beyond the reservation and the free budget, which are not charged. */
const chargeTokens = (
	program: Program,
	call: OpenCall,
	{usedTokens, outcome}: SettleCall,
): number => {
	const available = call.reservedTokens + freeTokens(program);
	const used =
		usedTokens ?? (outcome.verdict === 'not-run' ? 0 : call.reservedTokens);
	const charged = Math.min(used, available);
	program.spentTokens += charged;
	call.reservedTokens = 0;
	return used - charged;
};

/** Appends the answer or the error message to the history; returns its entry index. */
const appendOutcome = (
	context: StepContext,
	program: Program,
	call: OpenCall,
	{answer, outcome}: SettleCall,
): number | undefined => {
	if (outcome.verdict === 'not-run') {
		// The request messages of a call that never ran are not part of the conversation.
		truncateEntries(program, call.entriesBefore);
	}

	if (outcome.status === 'failed') {
		return appendHistory(context, program, {
			role: 'error',
			content: outcome.message.slice(0, 1000),
		});
	}

	return answer && appendHistory(context, program, answer);
};

const settleOpenCall = (
	context: StepContext,
	program: Program,
	call: OpenCall,
	command: SettleCall,
): ProgramResult => {
	const {state} = context;
	const {outcome} = command;
	const overrunTokens = chargeTokens(program, call, command);
	const entryIndex = appendOutcome(context, program, call, command);
	const record: StoredRecord = {
		idHash: hashRequestId(call.requestId),
		bodyHash: call.bodyHash,
		turn: call.turn,
		attempt: call.intent.attempt,
		answered: outcome.status === 'answered',
		verdict: outcome.verdict,
		kind: call.kind,
		idempotent: call.idempotent,
		refused: false,
		textIndex: internText(
			state.texts,
			outcome.status === 'answered' ? outcome.contentType : outcome.reason,
		),
		entryIndex,
	};
	appendRecord(program, record, state.limits.recordsPerProgram);
	program.cachedTokens = command.cachedTokens ?? program.cachedTokens;
	program.call = undefined;
	return {
		outcome: 'settled',
		record: describeRecord(state, program, record),
		overrunTokens,
		repeated: false,
	};
};

/** Returns the result for a call that is already settled or whose current attempt is another one. */
const answerStaleSettle = (
	context: StepContext,
	program: Program,
	command: SettleCall,
): ProgramResult => {
	if (program.call?.requestId === command.requestId) {
		return {outcome: 'ignored', reason: 'attempt-superseded'};
	}

	const record = findRecord(program.records, command.requestId);
	if (!record || record.refused) {
		return {outcome: 'ignored', reason: 'request-unknown'};
	}

	return record.attempt === command.attempt
		? {
				outcome: 'settled',
				record: describeRecord(context.state, program, record),
				overrunTokens: 0,
				repeated: true,
			}
		: {outcome: 'ignored', reason: 'attempt-superseded'};
};

const isValid = ({usedTokens, cachedTokens, answer}: SettleCall): boolean => {
	const roles: readonly string[] = HISTORY_ROLES;
	return (
		isAmount(usedTokens ?? 0) &&
		isAmount(cachedTokens ?? 0) &&
		(answer === undefined || roles.includes(answer.role))
	);
};

/** Applies `settle-call`: only the current attempt settles its call, and only once. */
export const stepSettleCall = (
	context: StepContext,
	command: SettleCall,
): ProgramResult => {
	const program = context.state.programs.edit(command.programId);
	if (!program) {
		return refuseUnknownProgram(command.programId);
	}

	const {call} = program;
	if (
		call?.requestId !== command.requestId ||
		call.intent.attempt !== command.attempt
	) {
		return answerStaleSettle(context, program, command);
	}

	return isValid(command)
		? settleOpenCall(context, program, call, command)
		: refuse(
				'invalid-input',
				'Token counts must be non-negative integers, and the role of the answer must be a known role.',
			);
};
