import type {AttemptOutcome} from '@marjoramcove/balancer';
import {
	EventBoundary,
	findFraming,
	hasMergedHeads,
	type ResponseFraming,
	type ResponseHead,
	type ResponseStart,
} from '@marjoramcove/ingress';
import {findResponseError} from './find-response-error.ts';
import type {RequestContext} from './request-context.ts';

/** Statuses that tell a caller that its request has not run and may be sent again. */
const REFUSAL_STATUSES = new Set([408, 421, 429, 503]);

/** Range of the statuses of final responses (RFC 9110, section 15). */
const MIN_STATUS = 200;
const MAX_STATUS = 599;

const isSuccess = (status: number): boolean => status >= 200 && status < 300;

/**
 * Decides whether the response of a server is the one to a request, and whether it is whole. All responses
 * pass it before any part of them is forwarded or stored as complete.
 *
 * A response whose end is announced is whole at this end. One that ends with its connection is whole if the
 * connection was closed in order. A successful response of a stream route also has to end between two
 * events, whatever its type says, and without an announced end it must have one event at least.
 *
 * @example
 * ```ts
 * const check = new ResponseCheck(request);
 * check.start({...answer, head}); // undefined: the response belongs to the request
 * check.push(Buffer.from('data: x\n'));
 * check.findDefectAtEnd(); // 'ended-inside-event'
 * ```
 */
export class ResponseCheck {
	readonly #request: RequestContext;
	#framing: ResponseFraming = 'none';
	#isOwn = false;
	#outcome: AttemptOutcome = 'cancelled';
	/** Absent for a response that is no stream. */
	#boundary: EventBoundary | undefined;

	constructor(request: RequestContext) {
		this.#request = request;
	}

	/** How the end of the response is announced; `none` before its head has arrived. */
	get framing(): ResponseFraming {
		return this.#framing;
	}

	/** Whether the head belongs to the request, so that it tells something about the server. */
	get isOwn(): boolean {
		return this.#isOwn;
	}

	/**
	 * What the head says about the health of the server. Nothing if it does not belong to the request, or if it
	 * states that the request has not run, which indicates load.
	 */
	get outcome(): AttemptOutcome {
		return this.#outcome;
	}

	/** @returns the reason code for which the response must not be forwarded; `undefined` if it may be. */
	start(answer: ResponseStart & {head: ResponseHead}): string | undefined {
		const {head, exchange, route} = this.#request;
		const {status, headers} = answer;
		this.#framing = findFraming(exchange.method, status, headers);
		if (route.kind === 'stream' && isSuccess(status)) {
			this.#boundary = new EventBoundary();
		}

		if (hasMergedHeads(answer)) {
			return 'merged-heads';
		}

		this.#isOwn = answer.head.requestId === head.requestId;
		if (this.#isOwn && !answer.head.isNotRun) {
			this.#outcome = status >= 500 ? 'error' : 'answered';
		}

		if (status < MIN_STATUS || status > MAX_STATUS) {
			return 'status-out-of-range';
		}

		// Callers send a request again after these statuses, although only the server knows whether it has run.
		const isUnconfirmedRefusal =
			REFUSAL_STATUSES.has(status) &&
			!answer.head.isNotRun &&
			route.kind !== 'idempotent';
		return (
			findResponseError(head, answer) ??
			(isUnconfirmedRefusal ? 'unconfirmed-refusal' : undefined)
		);
	}

	/** Reads the next bytes of the body. */
	push(chunk: Uint8Array): void {
		this.#boundary?.push(chunk);
	}

	/** @returns the reason code for which a response that has ended is not whole; `undefined` if it is. */
	findDefectAtEnd(): string | undefined {
		if (!this.#boundary) {
			return undefined;
		}

		if (this.#boundary.isInsideEvent) {
			return 'ended-inside-event';
		}

		// A stream that is resumed after its last event has no further ones.
		const isResumed = this.#request.head.lastEventId !== undefined;
		const mayBeEmpty = isResumed || this.#framing !== 'connection';
		return mayBeEmpty || this.#boundary.hasEvents
			? undefined
			: 'ended-without-event';
	}
}
