import type {
	AffinityKey,
	CallerId,
	ProgramId,
	RequestId,
	UpstreamId,
} from '@marjoramcove/types';
import type {HeaderList} from './header-list.ts';

/** A part of a prompt that several requests may share. */
export type PromptPart = {id: string; tokens: number};

/** Metadata from the headers of a request. A field is absent when its header is missing or invalid. */
export type RequestHead = {
	requestId?: RequestId;
	/** Time for which the caller waits for a response. */
	deadlineMs?: number;
	programId?: ProgramId;
	/** Remaining time for the whole program. */
	programDeadlineMs?: number;
	/** Token budget for the generated tokens of all turns of the program. */
	budgetTokens?: number;
	promptTokens?: number;
	/** Maximum number of tokens that this request generates. */
	maxTokens?: number;
	promptParts?: PromptPart[];
	/** Object that the request concerns; servers that handled it recently are faster. */
	affinityKey?: AffinityKey;
	/** Turn that this request continues. */
	previousTurnId?: RequestId;
	/** Last event of an interrupted stream that the caller received. */
	lastEventId?: string;
	/** Keys that the caller presents, in the order of the headers; more than one is no valid key. */
	keys?: readonly string[];
	/**
	 * Names of headers that say to which program a request belongs, what it continues or what it may generate, and
	 * whose value is invalid or given twice. Their fields are absent. Absent if there are none.
	 */
	unreadableHeaders?: readonly string[];
};

/** What a server is told about the caller of a request; the caller's own statements and key are removed. */
export type CallerIdentity = {
	/** Absent for a request without a valid key, on a public route. */
	teamId?: CallerId;
};

/** Metadata from the status and headers of a server's response. */
export type ResponseHead = {
	/** Id of the request that the response belongs to; absent unless the response states exactly one id. */
	requestId?: RequestId;
	/** Whether the server states that it did not run the request and never will. */
	isNotRun: boolean;
	/** Whether the response carries the signature of a server and so does not come from an intermediary. */
	isSigned: boolean;
	/** Whether the server announces that it is leaving and soon stops. */
	isServerLeaving: boolean;
	/** Names of headers that were ignored because their value is invalid. */
	unreadableHeaders: readonly string[];
	/** Requests per second that the server accepts from all daemons together; absent if it states no limit. */
	requestsPerSecond?: number;
};

/** Maps headers to metadata and back; implemented by a platform adapter. */
export abstract class HeadCodec {
	abstract decodeRequest(headers: HeaderList): RequestHead;

	/** Returns the headers of the request to a server; headers reserved for the system are replaced. */
	abstract encodeForServer(
		headers: HeaderList,
		details: {
			serverId: UpstreamId;
			timeLeftMs: number;
			/** Absent if callers need no key: their headers with keys and teams are then forwarded unchanged. */
			identity?: CallerIdentity;
		},
	): HeaderList;

	abstract decodeResponse(status: number, headers: HeaderList): ResponseHead;

	/** Returns the headers of a response that the gateway generates itself. */
	abstract encodeLocalResponse(details: {
		requestId?: RequestId;
		/** Time after which the caller may retry a request that has not run. */
		retryAfterMs?: number;
	}): HeaderList;
}
