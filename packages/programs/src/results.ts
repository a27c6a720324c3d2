import type {
	DaemonId,
	IncarnationId,
	ProgramId,
	RequestId,
	UpstreamId,
	Verdict,
} from '@marjoramcove/types';
import type {
	CallKind,
	CallOutcome,
	HistoryText,
	Intent,
	ProgramBudget,
} from './commands.ts';
import type {HistoryEntry} from './history-entries.ts';

/** A settled request. The text of the answer, or of the error message, is in the history stream. */
export type RequestRecord = {
	turn: number;
	attempt: number;
	kind: CallKind;
	idempotent: boolean;
	/** The message of a failed call is in `answer`, and empty here. */
	outcome: CallOutcome;
	answer?: HistoryEntry;
};

/** An open call that the end of its program or its time limit cancelled. */
export type CancelledCall = {
	programId: ProgramId;
	requestId: RequestId;
	intent: Intent;
	reason: string;
};

/** Why a command had no effect. */
export type ProgramRefusalReason =
	| 'attempt-limit'
	| 'attempt-out-of-order'
	| 'budget-not-carved'
	| 'call-in-progress'
	| 'child-limit'
	| 'command-too-old'
	| 'history-too-large'
	| 'invalid-input'
	| 'not-idempotent'
	| 'program-ended'
	| 'program-exists'
	| 'program-unknown'
	| 'refusal-limit'
	| 'request-forgotten'
	| 'request-id-reused'
	| 'token-budget'
	| 'turn-limit'
	| 'turn-out-of-order'
	| 'wall-time-limit'
	| 'wrong-shard';

export type OpenCallDescription = {
	programId: ProgramId;
	requestId: RequestId;
	kind: CallKind;
	idempotent: boolean;
	turn: number;
	reservedTokens: number;
	timeoutMs: number;
	attemptAtMs: number;
	intent: Intent;
	dispatcherId: DaemonId;
	dispatcherIncarnation: IncarnationId;
	upstreamId: UpstreamId;
};

export type ProgramResult =
	| {
			outcome: 'opened';
			programId: ProgramId;
			budget: ProgramBudget;
			deadlineMs: number;
			repeated: boolean;
	  }
	| {
			outcome: 'carved';
			childId: ProgramId;
			budget: ProgramBudget;
			/** Deadline of the parent, which the child may not exceed. */
			deadlineMs: number;
			repeated: boolean;
	  }
	/** The call has its turn, reservation, intent and hold; it may be sent now. */
	| {outcome: 'accepted'; call: OpenCallDescription}
	/** The request id is known and its call is open; a caller attaches to it. */
	| {outcome: 'in-progress'; call: OpenCallDescription}
	/** The request id is known and settled. */
	| {outcome: 'recorded'; record: RequestRecord}
	| {outcome: 'retried'; call: OpenCallDescription}
	| {
			outcome: 'settled';
			record: RequestRecord;
			/** Tokens used beyond the reservation and the free budget; they are not charged. */
			overrunTokens: number;
			repeated: boolean;
	  }
	| {
			outcome: 'ended';
			reason: string;
			repeated: boolean;
			cancelled: CancelledCall[];
	  }
	| {
			outcome: 'expired';
			ended: Array<{programId: ProgramId; reason: string}>;
			cancelled: CancelledCall[];
			dropped: number;
	  }
	/** A repeated or late command without effect; safe to treat as done. */
	| {outcome: 'done'; repeated: boolean}
	| {
			outcome: 'ignored';
			reason: 'attempt-superseded' | 'hold-renewed' | 'request-unknown';
	  }
	| {
			outcome: 'refused';
			reason: ProgramRefusalReason;
			/** `may-have-run` when the machine no longer knows whether the request ran. */
			verdict: Extract<Verdict, 'not-run' | 'may-have-run'>;
			message: string;
			/** Set when the refusal also ended the program because a limit was used up. */
			ended?: boolean;
			repeated?: boolean;
	  };

export type ProgramStep<State> = {
	state: State;
	result: ProgramResult;
	/** Texts to append to the history stream of the shard, in this order. */
	appended: HistoryText[];
};
