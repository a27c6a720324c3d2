import {freeTokens, freeTurns, isAmount} from './budget.ts';
import {describeCall, describeRecord} from './describe-call.ts';
import {endProgram} from './end-program.ts';
import {
	appendRecord,
	countForgotten,
	findRecord,
	hashBody,
	hashRequestId,
	isForgotten,
	MAX_ENTRIES,
} from './request-records.ts';
import type {ProgramRefusalReason, ProgramResult} from './results.ts';
import {type Program, shareIntent} from './state.ts';
import {renewHold} from './renew-hold.ts';
import {
	appendHistory,
	type CommandOf,
	refuse,
	type StepContext,
	refuseUnknown,
} from './step-context.ts';
import {HISTORY_ROLES, internText} from './text-table.ts';

type AcceptCall = CommandOf<'accept-call'>;
type Refusal = {reason: ProgramRefusalReason; message: string};

/** Answers a request id that is already known; undefined for a new one. */
const answerKnown = (
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
			`Request id ${command.requestId} was used with another body.`,
		);
	}

	if (record?.refused) {
		return {
			...refuse(
				context.state.texts[record.textIndex] as ProgramRefusalReason,
				`Request ${command.requestId} was refused before; use a new request id.`,
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

/** Whether the command itself is malformed. */
const findInvalidInput = (command: AcceptCall): Refusal | undefined => {
	const roles: readonly string[] = HISTORY_ROLES;
	const role = command.messages.find(
		(message) => !roles.includes(message.role),
	)?.role;
	if (role !== undefined) {
		return {
			reason: 'invalid-input',
			message: `The role ${JSON.stringify(role.slice(0, 64))} is unknown; allowed are ${HISTORY_ROLES.join(', ')}.`,
		};
	}

	return isAmount(command.reservedTokens) &&
		isAmount(command.timeoutMs) &&
		command.intent.attempt === 1
		? undefined
		: {
				reason: 'invalid-input',
				message:
					'The reservation and the timeout must be whole numbers that are not negative, and the first attempt is 1.',
			};
};

/** Order of turns and size of the history. */
const findOrderRefusal = (
	context: StepContext,
	program: Program,
	command: AcceptCall,
): Refusal | undefined => {
	if (program.call) {
		return {
			reason: 'call-in-progress',
			message: `Request ${program.call.requestId} of the program is still open.`,
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

	// Two more entries must fit: the answer and, after a cancellation, its message.
	const entryCount = program.entryCount + command.messages.length;
	return sizeBytes > context.state.limits.historySizeBytes ||
		entryCount + 2 >= MAX_ENTRIES
		? {
				reason: 'history-too-large',
				message: `The history would have ${sizeBytes} bytes; the limit is ${context.state.limits.historySizeBytes}.`,
			}
		: undefined;
};

/** Limits of the program, each with its own reason. */
const findBudgetRefusal = (
	context: StepContext,
	program: Program,
	command: AcceptCall,
): Refusal | undefined => {
	if (context.nowMs >= program.deadlineMs) {
		return {
			reason: 'wall-time-limit',
			message: 'The wall time of the program is used up.',
		};
	}

	if (freeTurns(program) < 1) {
		return {
			reason: 'turn-limit',
			message: `All ${program.turnLimit} turns are spent or given to sub-agents.`,
		};
	}

	return freeTokens(program) < command.reservedTokens
		? {
				reason: 'token-budget',
				message: `The call may use ${command.reservedTokens} tokens, but ${freeTokens(program)} of ${program.tokenLimit} are free.`,
			}
		: undefined;
};

/** Whether the limit is used up for good, so that the program cannot go on. */
const isExhausted = (program: Program, reason: string): boolean =>
	reason === 'wall-time-limit' ||
	(reason === 'turn-limit' && program.spentTurns >= program.turnLimit) ||
	(reason === 'token-budget' && program.spentTokens >= program.tokenLimit);

/**
 * Records a refusal, so that a late copy of the command cannot run the call that was reported as
 * `not-run`. A used-up limit also ends the program, so that it leaves nothing held.
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
	const isFlooded = countForgotten(program) >= state.limits.forgottenPerProgram;
	const ended = isFlooded || (!program.call && isExhausted(program, reason));
	if (ended) {
		endProgram(context, program, isFlooded ? 'refusal-limit' : reason);
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
		intent: shareIntent(command.intent),
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
		// The program may have ended and been dropped, so the request may have run.
		return {
			...refuseUnknown(command.programId),
			verdict: 'may-have-run',
		};
	}

	const known = answerKnown(context, program, command);
	if (known) {
		return known;
	}

	if (isForgotten(program, command.requestId)) {
		return {
			...refuse(
				'request-forgotten',
				`Request ${command.requestId} was handled before and its record was dropped.`,
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
