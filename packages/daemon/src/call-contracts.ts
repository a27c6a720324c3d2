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

/** Model, or operation of a service, that a call addresses. */
export const targetSchema = z.union([
	z.object({model: z.string()}),
	z.object({service: z.string(), operation: z.string()}),
]);
export type Target = z.output<typeof targetSchema>;

const idSchema = <Id extends string>() =>
	z
		.string()
		.min(1)
		.max(200)
		.transform((value) => value as Id);
export const programIdSchema = idSchema<ProgramId>();
export const requestIdSchema = idSchema<RequestId>();

/** Call that an entry daemon sends to the owner of its program. */
export const acceptSchema = z.object({
	programId: programIdSchema,
	requestId: requestIdSchema,
	bodyHash: z.string(),
	kind: z.enum(['model', 'tool']),
	target: targetSchema,
	messages: z.array(z.object({role: z.string(), content: z.string()})),
	/** Additional request fields for the engine, or the input of a tool. */
	parameters: z.unknown(),
	expectedTurn: z.int().optional(),
	maxTokens: z.int().min(1).optional(),
	zone: z.string().transform((value) => value as ZoneName),
	timeoutMs: z.number(),
});
export type AcceptInput = z.output<typeof acceptSchema>;

/** Permission to send one attempt once, given to one incarnation of one dispatcher. */
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
	/** Time remaining for the call when the grant is sent. */
	timeoutMs: number;
	/** Reason that is recorded when the call times out. */
	timeoutReason: 'call-timeout' | 'tool-timeout' | 'wall-time-limit';
	maxTokens: number;
	promptTokens: number;
	cachedTokens: number;
	attainedTokens: number;
	priority: number;
	deadlineMs?: number;
};

/** Content that the dispatcher sends to the upstream. */
export type CallPayload = {
	messages: HistoryText[];
	parameters: unknown;
	/** Text that an earlier attempt already delivered. */
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
	/** The dispatcher may still be alive; the entry daemon asks again after `retryAfterMs`. */
	| {status: 'unsure'; retryAfterMs: number};

/** Upper bound of the completion length that queues and estimates assume; the actual length is unknown. */
export const assumedCompletionTokens = 256;

/** Token counts of an engine in the format of the OpenAI API. */
export type Usage = {
	prompt_tokens: number;
	completion_tokens: number;
	total_tokens: number;
	prompt_tokens_details?: {cached_tokens?: number};
};

/** Event that a dispatcher sends about an attempt. */
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
	/** The attempt does not continue at this dispatcher; the owner decides what happens next. */
	| {type: 'lost'; reason: string};

/** Status of an attempt at its dispatcher. */
export type AttemptStatus =
	'unknown' | 'queued' | 'sent' | 'settled' | 'lost' | 'discarded';

/** Identifies one attempt. */
export const attemptSchema = z.object({
	programId: programIdSchema,
	requestId: requestIdSchema,
	attempt: z.int(),
	dispatcherIncarnation: z.string(),
});
export type AttemptReference = z.output<typeof attemptSchema>;

/**
 * Key of an attempt in maps, and id of its stream at the engine. The separator needs no percent-encoding
 * in a path, because engines may compare the id without decoding it.
 */
export const attemptKey = (reference: {
	programId: string;
	requestId: string;
	attempt: number;
}): string =>
	`${reference.programId}~${reference.requestId}~${reference.attempt}`;
