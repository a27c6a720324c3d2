import {freeTokens, freeTurns, isAmount} from './budget.ts';
import {describeCall, describeRecord} from './describe-call.ts';
import {endProgram} from './end-program.ts';
import {
	appendRecord,
	countDroppedRecords,
	findRecord,
	hashBody,
	hashRequestId,
	isRecordDropped,
	MAX_ENTRIES,
} from './request-records.ts';
import type {ProgramRefusalReason, ProgramResult} from './results.ts';
import {deduplicateIntent, type Program} from './state.ts';
import {renewHold} from './renew-hold.ts';
import {
	appendHistory,
	type CommandOf,
	refuse,
	type StepContext,
	refuseUnknownProgram,
} from './step-context.ts';
import {HISTORY_ROLES, internText} from './text-table.ts';

type AcceptCall = CommandOf<'accept-call'>;
type Refusal = {reason: ProgramRefusalReason; message: string};

/** Returns the result for a request id that was used before; undefined for a new one. */
const answerRepeatedRequest = (
	context: StepContext,
	program: Program,
	command: AcceptCall,
): ProgramResult | undefined => {
	const bodyHash = hashBody(command.bodyHash);
	const isOpen = program.call?.requestId === command.requestId;
	const record = isOpen
		? undefined
		: findRecord(program.records, command.requestId);
	if (!isOpen && !record) {
		return undefined;
	}

	if ((isOpen ? program.call!.bodyHash : record!.bodyHash) !== bodyHash) {
		return refuse(
			'request-id-reused',
			`Request id ${command.requestId} was already used with a different body.`,
		);
	}

	if (record?.refused) {
		return {
			...refuse(
				context.state.texts[record.textIndex] as ProgramRefusalReason,
				`Request ${command.requestId} was already refused; use a new request id.`,
			),
			repeated: true,
		};
	}

	return record
		? {
				outcome: 'recorded',
				record: describeRecord(context.state, program, record),
			}
		: {outcome: 'in-progress', call: describeCall(program, program.call!)};
};

/** Validates the fields of the command. */
const findInvalidInput = (command: AcceptCall): Refusal | undefined => {
	const roles: readonly string[] = HISTORY_ROLES;
	const role = command.messages.find(
		(message) => !roles.includes(message.role),
	)?.role;
	if (role !== undefined) {
		return {
			reason: 'invalid-input',
			message: `Unknown role ${JSON.stringify(role.slice(0, 64))}; the allowed roles are ${HISTORY_ROLES.join(', ')}.`,
		};
	}

	return isAmount(command.reservedTokens) &&
		isAmount(command.timeoutMs) &&
		command.intent.attempt === 1
		? undefined
		: {
				reason: 'invalid-input',
				message:
					'The reservation and the timeout must be non-negative integers, and the first attempt must have the number 1.',
			};
};

/** Checks that no call is open, the order of turns and the size of the history. */
const findOrderRefusal = (
	context: StepContext,
	program: Program,
	command: AcceptCall,
): Refusal | undefined => {
	if (program.call) {
		return {
			reason: 'call-in-progress',
			message: `Request ${program.call.requestId} of the program is still in progress.`,
		};
	}

	if (
		command.expectedTurn !== undefined &&
		command.expectedTurn !== program.nextTurn
	) {
		return {
			reason: 'turn-out-of-order',
			message: `Turn ${command.expectedTurn} was expected, but turn ${program.nextTurn} is next.`,
		};
	}

	let sizeBytes = program.historyBytes;
	for (const message of command.messages) {
		sizeBytes += Buffer.byteLength(message.content);
	}

	// Leaves room for two more entries: the answer and, after a cancellation, the error message.
	const entryCount = program.entryCount + command.messages.length;
	return sizeBytes > context.state.limits.historySizeBytes ||
		entryCount + 2 >= MAX_ENTRIES
		? {
				reason: 'history-too-large',
				message: `The history would have ${sizeBytes} bytes in ${entryCount} entries; the limits are ${context.state.limits.historySizeBytes} bytes and ${MAX_ENTRIES - 3} entries.`,
			}
		: undefined;
};

/** Checks the wall time, the turn limit and the token budget, each with its own reason. */
const findBudgetRefusal = (
	context: StepContext,
	program: Program,
	command: AcceptCall,
): Refusal | undefined => {
	if (context.nowMs >= program.deadlineMs) {
		return {
			reason: 'wall-time-limit',
			message: 'The program has reached its wall-time limit.',
		};
	}

	if (freeTurns(program) < 1) {
		return {
			reason: 'turn-limit',
			message: `All ${program.turnLimit} turns are spent or allocated to sub-agents.`,
		};
	}

	return freeTokens(program) < command.reservedTokens
		? {
				reason: 'token-budget',
				message: `The call may use up to ${command.reservedTokens} tokens, but only ${freeTokens(program)} of ${program.tokenLimit} are available.`,
			}
		: undefined;
};

/** Whether a limit is permanently exhausted, so that the program cannot continue. */
const isExhausted = (program: Program, reason: string): boolean =>
	reason === 'wall-time-limit' ||
	(reason === 'turn-limit' && program.spentTurns >= program.turnLimit) ||
	(reason === 'token-budget' && program.spentTokens >= program.tokenLimit);

/**
 * Records a refusal, so that a delayed duplicate of the command cannot run a call that was reported
 * as `not-run`. When a limit is exhausted, it also ends the program, so that its engine memory is
 * released.
 */
const recordRefusal = (
	context: StepContext,
	program: Program,
	command: AcceptCall,
	{reason, message}: Refusal,
): ProgramResult => {
	const {state} = context;
	appendRecord(
		program,
		{
			idHash: hashRequestId(command.requestId),
			bodyHash: hashBody(command.bodyHash),
			turn: 0,
			attempt: 0,
			answered: false,
			verdict: 'not-run',
			kind: command.kind,
			idempotent: command.idempotent,
			refused: true,
			textIndex: internText(state.texts, reason),
		},
		state.limits.recordsPerProgram,
	);
	const hasTooManyRefusals =
		countDroppedRecords(program) >= state.limits.forgottenPerProgram;
	const ended =
		hasTooManyRefusals || (!program.call && isExhausted(program, reason));
	if (ended) {
		endProgram(context, program, hasTooManyRefusals ? 'refusal-limit' : reason);
	}

	return {...refuse(reason, message), ...(ended && {ended})};
};

const recordCall = (
	context: StepContext,
	program: Program,
	command: AcceptCall,
): ProgramResult => {
	const entriesBefore = program.entryCount;
	for (const message of command.messages) {
		appendHistory(context, program, message);
	}

	const call = {
		requestId: command.requestId,
		bodyHash: hashBody(command.bodyHash),
		kind: command.kind,
		idempotent: command.idempotent,
		turn: program.nextTurn,
		reservedTokens: command.reservedTokens,
		timeoutMs: Math.min(command.timeoutMs, program.deadlineMs - context.nowMs),
		attemptAtMs: context.nowMs,
		intent: deduplicateIntent(command.intent),
		entriesBefore,
	};
	program.call = call;
	program.nextTurn++;
	program.spentTurns++;
	renewHold(program, call);
	return {outcome: 'accepted', call: describeCall(program, call)};
};

/** Applies `accept-call`. */
export const stepAcceptCall = (
	context: StepContext,
	command: AcceptCall,
): ProgramResult => {
	const program = context.state.programs.edit(command.programId);
	if (!program) {
		// The program may have ended and its tombstone been dropped, so the request may have run.
		return {
			...refuseUnknownProgram(command.programId),
			verdict: 'may-have-run',
		};
	}

	const repeated = answerRepeatedRequest(context, program, command);
	if (repeated) {
		return repeated;
	}

	if (isRecordDropped(program, command.requestId)) {
		return {
			...refuse(
				'request-forgotten',
				`Request ${command.requestId} was already handled, but its record was dropped.`,
			),
			verdict: 'may-have-run',
		};
	}

	if (program.endedReason !== undefined) {
		return refuse(
			'program-ended',
			`The program has ended: ${program.endedReason}.`,
		);
	}

	const refusal =
		findInvalidInput(command) ??
		findOrderRefusal(context, program, command) ??
		findBudgetRefusal(context, program, command);
	return refusal
		? recordRefusal(context, program, command, refusal)
		: recordCall(context, program, command);
};
