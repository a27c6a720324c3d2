import type {
	CallerId,
	DaemonId,
	IncarnationId,
	ProgramId,
	RequestId,
	UpstreamId,
	Verdict,
} from '@marjoramcove/types';

/** Limits of a program: tokens (prompt plus completion), turns, wall time. */
export type ProgramBudget = {tokens: number; turns: number; wallTimeMs: number};

/** Text of one history entry; `role` as in chat messages. */
export type HistoryText = {role: string; content: string};

/** Who sends an attempt, and to which upstream. Committed before anything is sent. */
export type Intent = {
	attempt: number;
	upstreamId: UpstreamId;
	dispatcherId: DaemonId;
	dispatcherIncarnation: IncarnationId;
};

export type CallKind = 'model' | 'tool';

/** Outcome of a call as it is recorded. */
export type CallOutcome =
	| {status: 'answered'; verdict: 'ran'; contentType: string}
	| {status: 'failed'; verdict: Verdict; reason: string; message: string};

export type ProgramCommand =
	| {
			type: 'open-program';
			nowMs: number;
			programId: ProgramId;
			callerId: CallerId;
			labels: Record<string, string>;
			budget: ProgramBudget;
			/** The parent may live in another shard; its carve-out is `carve-budget` there. */
			parentId?: ProgramId;
			deadlineMs?: number;
			operationId?: string;
	  }
	| {
			/** Reserves part of a parent's budget for a sub-agent, on the parent's shard. */
			type: 'carve-budget';
			nowMs: number;
			programId: ProgramId;
			childId: ProgramId;
			budget: ProgramBudget;
	  }
	| {
			/** Returns what an ended sub-agent did not spend, on the parent's shard. */
			type: 'return-budget';
			nowMs: number;
			programId: ProgramId;
			childId: ProgramId;
			spentTokens: number;
			spentTurns: number;
	  }
	| {
			type: 'accept-call';
			nowMs: number;
			programId: ProgramId;
			requestId: RequestId;
			/** Hash of the request body; the same request id with another hash is refused. */
			bodyHash: string;
			kind: CallKind;
			idempotent: boolean;
			/** Turn number that the caller expects; refused when another turn is next. */
			expectedTurn?: number;
			messages: HistoryText[];
			reservedTokens: number;
			timeoutMs: number;
			intent: Intent;
	  }
	| {
			type: 'retry-call';
			nowMs: number;
			programId: ProgramId;
			requestId: RequestId;
			/** Attempt that was lost; ignored unless it is the current one. */
			lostAttempt: number;
			reservedTokens: number;
			intent: Intent;
	  }
	| {
			type: 'settle-call';
			nowMs: number;
			programId: ProgramId;
			requestId: RequestId;
			attempt: number;
			outcome: CallOutcome;
			/** Answer appended to the history; absent when there is none. */
			answer?: HistoryText;
			/** Tokens used; absent when unknown, then the reservation counts as spent. */
			usedTokens?: number;
			cachedTokens?: number;
	  }
	| {
			type: 'end-program';
			nowMs: number;
			programId: ProgramId;
			reason: string;
	  }
	| {
			type: 'expire-programs';
			nowMs: number;
			/** New value of the limit `tombstoneRetentionMs`, the same on all replicas. Default: unchanged. */
			endedProgramRetentionMs?: number;
	  }
	| {
			/**
			 * Something other than the engine of a call may hold memory for the program from now on, for
			 * example an exported copy. It is released like the hold of an engine.
			 */
			type: 'record-hold';
			nowMs: number;
			programId: ProgramId;
			upstreamId: UpstreamId;
	  }
	| {
			/** An engine confirmed that it holds no memory for the program any more. */
			type: 'record-release';
			nowMs: number;
			programId: ProgramId;
			upstreamId: UpstreamId;
			/**
			 * Number of the hold that was released, as listed by `pendingReleases`; it grows with each
			 * turn and attempt. Without it, a confirmation counts only when it was made after the end of
			 * the program, because a late one could otherwise drop a hold that a newer call renewed.
			 */
			heldTurn?: number;
	  }
	| {
			/** The parent's shard confirmed `return-budget` for this ended sub-agent. */
			type: 'record-return';
			nowMs: number;
			programId: ProgramId;
	  }
	| {
			/**
			 * Makes sure that a sub-agent whose budget was carved out, but whose `open-program` was not
			 * observed, is never opened. An unknown program becomes an ended one that spent nothing.
			 */
			type: 'abandon-program';
			nowMs: number;
			programId: ProgramId;
			parentId: ProgramId;
	  };
