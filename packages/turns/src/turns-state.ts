import type {ProgramId, RequestId, UpstreamId} from '@marjoramcove/types';

/** Server that ran a turn, and the tokens of its prompt and its answer. */
export type LastTurn = {serverId: UpstreamId; contextTokens: number};

/** Token usage of a program. */
export type ProgramBudget = {
	spentTokens: number;
	/** Reserved tokens by open turn, which may still generate them. */
	reservedTokens: Map<RequestId, number>;
	/** Most recently settled turns, oldest first, so that a repeated command has no effect. */
	settled: Set<RequestId>;
	/** Where the last settled turn ran; that server retains the conversation so far. */
	last?: LastTurn;
	expiresAtMs: number;
};

/** A finished turn whose text is retained. */
export type TurnRecord = {
	previousId: RequestId | undefined;
	/** Start of its text (input and output) in the history stream. */
	offset: number;
	lengthBytes: number;
	expiresAtMs: number;
};

export type TurnsState = {
	/** Latest time of any command; it never decreases. */
	clockMs: number;
	/** Length of the history stream. */
	historyBytes: number;
	programs: Map<ProgramId, ProgramBudget>;
	/** Ordered by offset. */
	turns: Map<RequestId, TurnRecord>;
};

/** Text of a finished turn. */
export type FinishedTurn = {
	previousId?: RequestId;
	text: Uint8Array;
	retentionMs: number;
};

export type TurnCommand =
	| {
			type: 'reserve';
			nowMs: number;
			programId: ProgramId;
			requestId: RequestId;
			budgetTokens: number;
			maxTokens: number;
			retentionMs: number;
	  }
	| {
			type: 'settle';
			nowMs: number;
			programId: ProgramId;
			requestId: RequestId;
			/** Tokens of the output delivered to the caller. */
			usedTokens: number;
			retentionMs: number;
			/** Absent when no server ran the turn. */
			last?: LastTurn;
			turn?: FinishedTurn;
	  }
	| {type: 'expire'; nowMs: number};

export type TurnResult =
	| {status: 'granted'; last?: LastTurn}
	/** The remaining budget is smaller than the maximum output of the turn. */
	| {status: 'budget-spent'; spentTokens: number; reservedTokens: number}
	/** The turn is already settled and must not run again. */
	| {status: 'already-settled'}
	| {status: 'settled'}
	| {status: 'expired'; turns: number; programs: number};

/**
 * Creates the state of a shard without programs.
 *
 * @example
 * ```ts
 * const state = createTurnsState();
 * ```
 */
export const createTurnsState = (): TurnsState => ({
	clockMs: 0,
	historyBytes: 0,
	programs: new Map(),
	turns: new Map(),
});
