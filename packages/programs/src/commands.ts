import type {
	CallerId,
	DaemonId,
	IncarnationId,
	ProgramId,
	RequestId,
	UpstreamId,
	Verdict,
} from '@marjoramcove/types';

/** Limits of a program: tokens (prompt plus completion), turns and wall time. */
export type ProgramBudget = {tokens: number; turns: number; wallTimeMs: number};

/** Text of one history entry; `role` as in chat messages. */
export type HistoryText = {role: string; content: string};

/** Dispatcher and upstream of an attempt. It is committed before the attempt is sent. */
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
			/** The parent may belong to another shard, where `carve-budget` allocates the budget of the sub-agent. */
			parentId?: ProgramId;
			deadlineMs?: number;
			operationId?: string;
	  }
	| {
			/** Allocates part of a parent's budget to a sub-agent, on the parent's shard. */
			type: 'carve-budget';
			nowMs: number;
			programId: ProgramId;
			childId: ProgramId;
			budget: ProgramBudget;
	  }
	| {
			/** Returns the unspent budget of an ended sub-agent, on the parent's shard. */
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
			/** Hash of the request body; a repeated request id with a different hash is refused. */
			bodyHash: string;
			kind: CallKind;
			idempotent: boolean;
			/** Turn number that the caller expects; the call is refused when another turn is next. */
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
			/** Attempt that was lost; the command is ignored unless it is the current attempt. */
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
			/** Answer to append to the history, if there is one. */
			answer?: HistoryText;
			/** Tokens used. When the number is unknown, the reservation is charged in full. */
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
			 * Records that something other than the engine of a call may hold memory for the program, for
			 * example an exported copy. It is released in the same way as the hold on an engine.
			 */
			type: 'record-hold';
			nowMs: number;
			programId: ProgramId;
			upstreamId: UpstreamId;
	  }
	| {
			/** Records that an engine confirmed that it no longer holds memory for the program. */
			type: 'record-release';
			nowMs: number;
			programId: ProgramId;
			upstreamId: UpstreamId;
			/**
			 * Sequence number of the hold that was released, as listed by `pendingReleases`; it increases
			 * with each turn and attempt. Without it, a confirmation is valid only when it was made after
			 * the end of the program, because a delayed one could drop a hold that a newer call renewed.
			 */
			heldTurn?: number;
	  }
	| {
			/** Records that the parent's shard confirmed `return-budget` for this ended sub-agent. */
			type: 'record-return';
			nowMs: number;
			programId: ProgramId;
	  }
	| {
			/**
			 * Prevents a sub-agent with an allocated budget, but without an observed `open-program`, from
			 * being opened later. An unknown program is recorded as ended without spending anything.
			 */
			type: 'abandon-program';
			nowMs: number;
			programId: ProgramId;
			parentId: ProgramId;
	  };
