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

/** A settled request. The text of its answer or error message is in the history stream. */
export type RequestRecord = {
	turn: number;
	attempt: number;
	kind: CallKind;
	idempotent: boolean;
	/** The message of a failed call is empty here; its text is in `answer`. */
	outcome: CallOutcome;
	answer?: HistoryEntry;
};

/** An open call that was cancelled by the end of its program or by a timeout. */
export type CancelledCall = {
	programId: ProgramId;
	requestId: RequestId;
	intent: Intent;
	reason: string;
};

/** Reason for which a command was refused. */
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
	/** The turn, reservation, intent and hold of the call are recorded; it may be sent now. */
	| {outcome: 'accepted'; call: OpenCallDescription}
	/** The request id was accepted before and its call is open; the caller attaches to it. */
	| {outcome: 'in-progress'; call: OpenCallDescription}
	/** The request id was accepted before and its call is settled. */
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
	/** The command was applied. A repeated or delayed command has no effect. */
	| {outcome: 'done'; repeated: boolean}
	| {
			outcome: 'ignored';
			reason: 'attempt-superseded' | 'hold-renewed' | 'request-unknown';
	  }
	| {
			outcome: 'refused';
			reason: ProgramRefusalReason;
			/** `may-have-run` when the state no longer tells whether the request ran. */
			verdict: Extract<Verdict, 'not-run' | 'may-have-run'>;
			message: string;
			/** Set when the refusal also ended the program because a limit was exhausted. */
			ended?: boolean;
			repeated?: boolean;
	  };

export type ProgramStep<State> = {
	state: State;
	result: ProgramResult;
	/** Texts to append to the history stream of the shard, in this order. */
	appended: HistoryText[];
};
