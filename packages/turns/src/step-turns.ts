import {assertInvariant} from '@marjoramcove/errors';
import type {ProgramId, RequestId} from '@marjoramcove/types';
import type {
	FinishedTurn,
	ProgramBudget,
	TurnCommand,
	TurnResult,
	TurnsState,
} from './turns-state.ts';

type CommandOf<Type extends TurnCommand['type']> = Extract<
	TurnCommand,
	{type: Type}
>;

/** Result of a command, and the texts of finished turns to append to the history stream. */
export type TurnsStep = {result: TurnResult; appended: Uint8Array[]};

/** Settled turns remembered per program, to detect repeated commands, which arrive within seconds. */
const MAX_SETTLED_TURNS = 64;

const getOrCreateBudget = (
	state: TurnsState,
	programId: ProgramId,
	retentionMs: number,
): ProgramBudget => {
	let program = state.programs.get(programId);
	if (!program) {
		program = {
			spentTokens: 0,
			reservedTokens: new Map(),
			settled: new Set(),
			expiresAtMs: 0,
		};
		state.programs.set(programId, program);
	}

	program.expiresAtMs = Math.max(
		program.expiresAtMs,
		state.clockMs + retentionMs,
	);
	return program;
};

const sumReservedTokens = ({reservedTokens}: ProgramBudget): number => {
	let sum = 0;
	for (const tokens of reservedTokens.values()) {
		sum += tokens;
	}

	return sum;
};

const reserve = (
	state: TurnsState,
	command: CommandOf<'reserve'>,
): TurnResult => {
	const {programId, requestId, budgetTokens, maxTokens} = command;
	const program = getOrCreateBudget(state, programId, command.retentionMs);
	if (program.settled.has(requestId)) {
		return {status: 'already-settled'};
	}

	const {last} = program;
	if (program.reservedTokens.has(requestId)) {
		return {status: 'granted', last};
	}

	const reservedTokens = sumReservedTokens(program);
	const {spentTokens} = program;
	if (spentTokens + reservedTokens + maxTokens > budgetTokens) {
		return {status: 'budget-spent', spentTokens, reservedTokens};
	}

	program.reservedTokens.set(requestId, maxTokens);
	assertInvariant(
		program.spentTokens + sumReservedTokens(program) <= budgetTokens,
		'program-budget',
		command,
	);
	return {status: 'granted', last};
};

/** Extends the retention of a turn and its predecessors, which a later turn needs for as long as it is kept. */
const extendChain = (
	state: TurnsState,
	turnId: RequestId | undefined,
	expiresAtMs: number,
): void => {
	for (let nextId = turnId; nextId !== undefined;) {
		const turn = state.turns.get(nextId);
		if (!turn || turn.expiresAtMs >= expiresAtMs) {
			return;
		}

		turn.expiresAtMs = expiresAtMs;
		nextId = turn.previousId;
	}
};

const addTurn = (
	state: TurnsState,
	requestId: RequestId,
	{previousId, text, retentionMs}: FinishedTurn,
): void => {
	const expiresAtMs = state.clockMs + retentionMs;
	extendChain(state, previousId, expiresAtMs);
	state.turns.set(requestId, {
		previousId,
		offset: state.historyBytes,
		lengthBytes: text.length,
		expiresAtMs,
	});
	state.historyBytes += text.length;
};

const settle = (
	state: TurnsState,
	command: CommandOf<'settle'>,
): {result: TurnResult; appended: Uint8Array[]} => {
	const {programId, requestId, usedTokens, turn} = command;
	const program = getOrCreateBudget(state, programId, command.retentionMs);
	if (program.settled.has(requestId)) {
		return {result: {status: 'already-settled'}, appended: []};
	}

	program.reservedTokens.delete(requestId);
	program.spentTokens += usedTokens;
	program.settled.add(requestId);
	program.last = command.last ?? program.last;
	if (program.settled.size > MAX_SETTLED_TURNS) {
		const [oldest] = program.settled;
		program.settled.delete(oldest!);
	}

	if (turn) {
		addTurn(state, requestId, turn);
	}

	return {result: {status: 'settled'}, appended: turn ? [turn.text] : []};
};

const expire = (state: TurnsState): TurnResult => {
	let turns = 0;
	let programs = 0;
	for (const [id, {expiresAtMs}] of state.turns) {
		if (expiresAtMs < state.clockMs) {
			state.turns.delete(id);
			turns++;
		}
	}

	for (const [id, {expiresAtMs}] of state.programs) {
		if (expiresAtMs < state.clockMs) {
			state.programs.delete(id);
			programs++;
		}
	}

	return {status: 'expired', turns, programs};
};

/**
 * Applies a command to the state, which is modified in place.
 *
 * @throws InvariantViolationError when a reservation would exceed its budget.
 * @example
 * ```ts
 * const {result, appended} = stepTurns(state, command);
 * ```
 */
export const stepTurns = (
	state: TurnsState,
	command: TurnCommand,
): TurnsStep => {
	state.clockMs = Math.max(state.clockMs, command.nowMs);
	if (command.type === 'expire') {
		return {result: expire(state), appended: []};
	}

	if (command.type === 'settle') {
		return settle(state, command);
	}

	return {result: reserve(state, command), appended: []};
};
