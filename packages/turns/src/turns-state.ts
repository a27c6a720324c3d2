import type {ProgramId, RequestId, UpstreamId} from '@marjoramcove/types';

/** Where a turn ran, and the tokens of its prompt and its answer. */
export type LastTurn = {serverId: UpstreamId; contextTokens: number};

/** What a program has spent. */
export type ProgramBudget = {
	spentTokens: number;
	/** Reserved tokens by the turn that may still generate them. */
	reservedTokens: Map<RequestId, number>;
	/** Turns that are settled, oldest first, so that a repeated command changes nothing. */
	settled: Set<RequestId>;
	/** Where the last settled turn ran; that server keeps what was said so far. */
	last?: LastTurn;
	expiresAtMs: number;
};

/** A finished turn whose text is kept. */
export type TurnRecord = {
	previousId: RequestId | undefined;
	/** Range of its text, input and output, in the history stream. */
	offset: number;
	lengthBytes: number;
	expiresAtMs: number;
};

export type TurnsState = {
	/** Time of the last command; it never goes back. */
	clockMs: number;
	/** Length of the history stream. */
	historyBytes: number;
	programs: Map<ProgramId, ProgramBudget>;
	/** In the order of their offsets. */
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
			/** Tokens that were handed to the caller. */
			usedTokens: number;
			retentionMs: number;
			/** Absent when no server ran the turn. */
			last?: LastTurn;
			turn?: FinishedTurn;
	  }
	| {type: 'expire'; nowMs: number};

export type TurnResult =
	| {status: 'granted'; last?: LastTurn}
	/** The rest of the budget is smaller than the most that the turn may generate. */
	| {status: 'budget-spent'; spentTokens: number; reservedTokens: number}
	/** The turn had been settled before; it must not run again. */
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
