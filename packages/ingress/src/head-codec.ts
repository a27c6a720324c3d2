import type {ProgramId, RequestId, UpstreamId} from '@marjoramcove/types';
import type {HeaderList} from './header-list.ts';

/** A part of a prompt that several requests may share. */
export type PromptPart = {id: string; tokens: number};

/** What the head of a request says. A field is absent when the caller did not send it, or not validly. */
export type RequestHead = {
	requestId?: RequestId;
	/** Time for which the caller waits. */
	deadlineMs?: number;
	programId?: ProgramId;
	/** Time that is left for the whole program. */
	programDeadlineMs?: number;
	/** Tokens that all turns of the program may generate. */
	budgetTokens?: number;
	promptTokens?: number;
	/** Most tokens that this request generates. */
	maxTokens?: number;
	promptParts?: PromptPart[];
	/** The turn that this one continues. */
	previousTurnId?: RequestId;
	/** Last event that the caller has of a broken stream. */
	lastEventId?: string;
};

/** What the head of a server's answer says. */
export type AnswerHead = {
	requestId?: RequestId;
	/** The server says that it did not run the request and never will. */
	isNotRun: boolean;
	/** The answer comes from a server, not from something in between. */
	isSigned: boolean;
};

/** Which header means what; an adapter implements it. */
export abstract class HeadCodec {
	abstract decodeRequest(headers: HeaderList): RequestHead;

	/** Headers of the request to a server, without those that only the system may set. */
	abstract encodeForServer(
		headers: HeaderList,
		details: {serverId: UpstreamId; timeLeftMs: number},
	): HeaderList;

	abstract decodeAnswer(status: number, headers: HeaderList): AnswerHead;

	/** Headers of an answer of the system itself. */
	abstract encodeOwnAnswer(details: {
		requestId?: RequestId;
		/** When a caller whose request has not run may come back. */
		retryAfterMs?: number;
	}): HeaderList;
}
