import {freeTokens, isAmount} from './budget.ts';
import {describeCall} from './describe-call.ts';
import {renewHold} from './renew-hold.ts';
import type {ProgramResult} from './results.ts';
import {type OpenCall, type Program, shareIntent} from './state.ts';
import {
	type CommandOf,
	refuse,
	type StepContext,
	refuseUnknown,
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
			`Request ${call.requestId} may have run and must not be sent again.`,
		);
	}

	if (
		command.intent.attempt !== command.lostAttempt + 1 ||
		!isAmount(command.reservedTokens)
	) {
		return refuse(
			'attempt-out-of-order',
			`The attempt after ${command.lostAttempt} must be ${command.lostAttempt + 1}, with a valid reservation.`,
		);
	}

	if (command.lostAttempt >= context.state.limits.attemptsPerCall) {
		return refuse(
			'attempt-limit',
			`${command.lostAttempt} attempts of the call were lost.`,
		);
	}

	if (context.nowMs >= program.deadlineMs) {
		return refuse(
			'wall-time-limit',
			'The wall time of the program is used up.',
		);
	}

	return freeTokens(program) < command.reservedTokens
		? refuse(
				'token-budget',
				`Another attempt may use ${command.reservedTokens} tokens, but ${freeTokens(program)} are free.`,
			)
		: undefined;
};

/**
 * Applies `retry-call`: replaces a lost attempt of an idempotent call. The reservation of the lost
 * attempt counts as spent, because its usage is unknown.
 */
export const stepRetryCall = (
	context: StepContext,
	command: CommandOf<'retry-call'>,
): ProgramResult => {
	const program = context.state.programs.edit(command.programId);
	if (!program) {
		return refuseUnknown(command.programId);
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
	call.intent = shareIntent(command.intent);
	call.attemptAtMs = context.nowMs;
	call.timeoutMs = Math.min(call.timeoutMs, program.deadlineMs - context.nowMs);
	renewHold(program, call);
	return {outcome: 'retried', call: describeCall(program, call)};
};
