import type {
	CallKind,
	CallOutcome,
	HistoryText,
	RequestRecord,
} from '@marjoramcove/programs';
import type {
	CallerId,
	DaemonId,
	IncarnationId,
	ProgramId,
	RequestId,
	UpstreamId,
	ZoneName,
} from '@marjoramcove/types';
import * as z from 'zod';

/** What a call addresses. */
export const targetSchema = z.union([
	z.object({model: z.string()}),
	z.object({service: z.string(), operation: z.string()}),
]);
export type Target = z.output<typeof targetSchema>;

const branded = <Id extends string>() =>
	z
		.string()
		.min(1)
		.max(200)
		.transform((value) => value as Id);
export const programIdSchema = branded<ProgramId>();
export const requestIdSchema = branded<RequestId>();

/** A call for the owner of its program. */
export const acceptSchema = z.object({
	programId: programIdSchema,
	requestId: requestIdSchema,
	bodyHash: z.string(),
	kind: z.enum(['model', 'tool']),
	target: targetSchema,
	messages: z.array(z.object({role: z.string(), content: z.string()})),
	/** Further request fields for the engine, or the input of a tool. */
	parameters: z.unknown(),
	expectedTurn: z.int().optional(),
	maxTokens: z.int().min(1).optional(),
	zone: z.string().transform((value) => value as ZoneName),
	timeoutMs: z.number(),
});
export type AcceptInput = z.output<typeof acceptSchema>;

/** Right to send one attempt once, at one incarnation of one dispatcher. */
export type Grant = {
	programId: ProgramId;
	requestId: RequestId;
	attempt: number;
	turn: number;
	kind: CallKind;
	idempotent: boolean;
	target: Target;
	callerId: CallerId;
	upstreamId: UpstreamId;
	dispatcherId: DaemonId;
	dispatcherIncarnation: IncarnationId;
	/** Time that is left for the call when the grant is sent. */
	timeoutMs: number;
	/** Reason with which the call ends when its time is over. */
	timeoutReason: 'call-timeout' | 'tool-timeout' | 'wall-time-limit';
	maxTokens: number;
	promptTokens: number;
	cachedTokens: number;
	attainedTokens: number;
	priority: number;
	deadlineMs?: number;
};

/** What the dispatcher sends to the upstream. */
export type CallPayload = {
	messages: HistoryText[];
	parameters: unknown;
	/** Text already delivered by an earlier attempt. */
	prefix: string;
};

/** State of a call as its owner reports it. */
export type CallState =
	| {status: 'granted'; grant: Grant; payload: CallPayload}
	| {
			status: 'settled';
			record: RequestRecord;
			/** Text of the answer or of the error. */
			content: string;
	  }
	/** The dispatcher may still be alive; ask again after a while. */
	| {status: 'unsure'; retryAfterMs: number};

/** Completion length that queues and estimates assume at most; the real one is not known. */
export const assumedCompletionTokens = 256;

/** Token counts of an engine in the form of the OpenAI API. */
export type Usage = {
	prompt_tokens: number;
	completion_tokens: number;
	total_tokens: number;
	prompt_tokens_details?: {cached_tokens?: number};
};

/** What a dispatcher reports of a call. */
export type DispatchEvent =
	| {type: 'chunk'; offset: number; text: string}
	| {
			type: 'final';
			outcome: CallOutcome;
			content: string;
			finishReason: string;
			toolCalls?: unknown[];
			usage?: Usage;
	  }
	/** The attempt does not go on here; the owner decides what follows. */
	| {type: 'lost'; reason: string};

/** Position of an attempt at its dispatcher. */
export type AttemptStatus =
	'unknown' | 'queued' | 'sent' | 'settled' | 'lost' | 'discarded';

/** Names one attempt. */
export const attemptSchema = z.object({
	programId: programIdSchema,
	requestId: requestIdSchema,
	attempt: z.int(),
	dispatcherIncarnation: z.string(),
});
export type AttemptName = z.output<typeof attemptSchema>;

/**
 * Key of an attempt in maps, and id of its stream at the engine. The separator needs no encoding in a
 * path, because engines may compare the id without decoding it.
 */
export const attemptKey = (name: {
	programId: string;
	requestId: string;
	attempt: number;
}): string => `${name.programId}~${name.requestId}~${name.attempt}`;
