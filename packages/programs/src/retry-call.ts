import {freeTokens, isAmount} from './budget.ts';
import {describeCall} from './describe-call.ts';
import {renewHold} from './renew-hold.ts';
import type {ProgramResult} from './results.ts';
import {deduplicateIntent, type OpenCall, type Program} from './state.ts';
import {
	type CommandOf,
	refuse,
	type StepContext,
	refuseUnknownProgram,
} from './step-context.ts';

const findRefusal = (
	context: StepContext,
	program: Program,
	call: OpenCall,
	command: CommandOf<'retry-call'>,
): ProgramResult | undefined => {
	if (!call.idempotent) {
		return refuse(
			'not-idempotent',
			`Request ${call.requestId} is not idempotent and may have run, so it cannot be retried.`,
		);
	}

	if (
		command.intent.attempt !== command.lostAttempt + 1 ||
		!isAmount(command.reservedTokens)
	) {
		return refuse(
			'attempt-out-of-order',
			`The attempt after ${command.lostAttempt} must have the number ${command.lostAttempt + 1} and a valid reservation.`,
		);
	}

	if (command.lostAttempt >= context.state.limits.attemptsPerCall) {
		return refuse(
			'attempt-limit',
			`All ${command.lostAttempt} attempts of the call were lost.`,
		);
	}

	if (context.nowMs >= program.deadlineMs) {
		return refuse(
			'wall-time-limit',
			'The program has reached its wall-time limit.',
		);
	}

	return freeTokens(program) < command.reservedTokens
		? refuse(
				'token-budget',
				`Another attempt may use up to ${command.reservedTokens} tokens, but only ${freeTokens(program)} are available.`,
			)
		: undefined;
};

/**
 * Applies `retry-call`: starts a new attempt of an idempotent call. The reservation of the lost
 * attempt is charged in full, because its token usage is unknown.
 */
export const stepRetryCall = (
	context: StepContext,
	command: CommandOf<'retry-call'>,
): ProgramResult => {
	const program = context.state.programs.edit(command.programId);
	if (!program) {
		return refuseUnknownProgram(command.programId);
	}

	const {call} = program;
	if (call?.requestId !== command.requestId) {
		return {outcome: 'ignored', reason: 'request-unknown'};
	}

	if (command.lostAttempt !== call.intent.attempt) {
		return {outcome: 'ignored', reason: 'attempt-superseded'};
	}

	const refusal = findRefusal(context, program, call, command);
	if (refusal) {
		return refusal;
	}

	program.spentTokens += call.reservedTokens;
	call.reservedTokens = command.reservedTokens;
	call.intent = deduplicateIntent(command.intent);
	call.attemptAtMs = context.nowMs;
	call.timeoutMs = Math.min(call.timeoutMs, program.deadlineMs - context.nowMs);
	renewHold(program, call);
	return {outcome: 'retried', call: describeCall(program, call)};
};
