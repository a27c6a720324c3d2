import type {ServerLoad} from '@marjoramcove/balancer';
import {
	type EventStreamReader,
	ResponseBuffer,
	type ResponseHead,
	type ResponseStart,
} from '@marjoramcove/ingress';
import type {RouteTable} from '@marjoramcove/routes';
import type {UpstreamId, Verdict} from '@marjoramcove/types';
import type {GatewayContext} from '../gateway-context.ts';
import {checkAccess} from './check-access.ts';
import {chooseWhenAdmitted} from './choose-when-permitted.ts';
import {type Refusal, refuseRequest} from './refuse-request.ts';
import {
	elapsedSinceReceiptMs,
	type RequestContext,
	type RequestOutcome,
} from './request-context.ts';
import {renewCredit} from './renew-credit.ts';
import type {AttemptExchange, Upstreams} from './upstreams.ts';

/** Maximum number of servers that a request is sent to. */
const MAX_ATTEMPTS = 4;

/** How a forwarded stream ended. */
type StreamEnd =
	{type: 'complete'} | {type: 'broken'; reason: string} | {type: 'abandoned'};

type StreamAttemptResult =
	/** The response head and events were forwarded to the caller. */
	| {type: 'streaming'; end: StreamEnd}
	/** A complete response that is not an event stream. */
	| {
			type: 'answered';
			start: ResponseStart & {head: ResponseHead};
			body: Buffer;
	  }
	| {type: 'failed'; verdict: Verdict; reason: string}
	| {type: 'abandoned'; verdict: Verdict};

export type StreamOptions = {
	upstreams: Upstreams;
	table: RouteTable;
	/** Runs after the last event and before the response ends; a failure aborts the response. */
	beforeEnd: (reader: EventStreamReader, serverId: UpstreamId) => Promise<void>;
	reader: EventStreamReader;
};

/** Sends the request to one server and forwards its event stream. */
class StreamAttempt {
	readonly #request: RequestContext;
	readonly #reader: EventStreamReader;
	readonly #resolve: (result: StreamAttemptResult) => void;
	readonly #removeAbandonListener: () => void;
	readonly #upstreamExchange: AttemptExchange;
	readonly #timer: NodeJS.Timeout;
	#responseStart: (ResponseStart & {head: ResponseHead}) | undefined;
	/** Body of a response that is not an event stream. */
	readonly #buffer: ResponseBuffer;
	#verdict: Verdict = 'not-run';
	#isStreaming = false;
	#isFinished = false;

	constructor(
		request: RequestContext,
		load: ServerLoad,
		{upstreams, table, reader}: StreamOptions,
		resolve: (result: StreamAttemptResult) => void,
	) {
		this.#request = request;
		this.#reader = reader;
		this.#resolve = resolve;
		this.#buffer = new ResponseBuffer(upstreams.bufferMemory);
		this.#removeAbandonListener = request.exchange.onDisconnect(() => {
			this.#upstreamExchange.cancel();
			this.#finish(
				this.#isStreaming
					? {type: 'streaming', end: {type: 'abandoned'}}
					: {type: 'abandoned', verdict: this.#verdict},
			);
		});

		this.#timer = setTimeout(
			() => {
				this.#upstreamExchange.cancel();
				this.#fail('timeout', this.#verdict);
			},
			Math.max(0, request.deadlineMs - performance.now()),
		);
		this.#upstreamExchange = upstreams.send(request, load, table, {
			onSent: () => {
				this.#verdict = 'may-have-run';
				request.progress.sentMs = elapsedSinceReceiptMs(request);
			},
			onStart: (answer) => {
				this.#handleStart(answer);
			},
			onData: (chunk) => {
				this.#handleData(chunk);
			},
			onEnd: () => {
				this.#handleEnd();
			},
			onFailure: ({code, verdict}) => {
				this.#fail(code, verdict);
			},
		});
	}

	#handleStart(answer: ResponseStart & {head: ResponseHead}): void {
		this.#responseStart = answer;
		if (answer.status === 200) {
			this.#isStreaming = true;
			this.#request.received.events = 0;
			this.#request.exchange.start(answer.status, answer.headers);
		}
	}

	#handleData(chunk: Uint8Array): void {
		if (!this.#isStreaming) {
			if (!this.#buffer.push(chunk)) {
				this.#reject('response-too-large');
			}

			return;
		}

		const {exchange, progress} = this.#request;
		progress.firstByteMs ??= elapsedSinceReceiptMs(this.#request);
		if (!this.#reader.push(chunk)) {
			this.#reject('event-too-large');
			return;
		}

		this.#request.received.events = this.#reader.eventCount;
		exchange.write(chunk);
		if (exchange.isCongested) {
			this.#upstreamExchange.pause();
			exchange.onceDrained(() => {
				this.#upstreamExchange.resume();
			});
		}
	}

	#handleEnd(): void {
		if (this.#isStreaming) {
			this.#finish({type: 'streaming', end: {type: 'complete'}});
		} else {
			const body = this.#buffer.take();
			this.#finish({type: 'answered', start: this.#responseStart!, body});
		}
	}

	#reject(reason: string): void {
		this.#upstreamExchange.reject();
		this.#fail(reason, this.#verdict);
	}

	#fail(reason: string, verdict: Verdict): void {
		this.#finish(
			this.#isStreaming
				? {type: 'streaming', end: {type: 'broken', reason}}
				: {type: 'failed', verdict, reason},
		);
	}

	#finish(result: StreamAttemptResult): void {
		if (!this.#isFinished) {
			this.#isFinished = true;
			clearTimeout(this.#timer);
			this.#removeAbandonListener();
			this.#buffer.discard();
			this.#resolve(result);
		}
	}
}

const NO_SERVER: Refusal = {
	status: 503,
	reason: 'no-server',
	message: 'No server takes the request now. It has not run.',
};

const describeFailure = (reason: string, verdict: Verdict): Refusal =>
	verdict === 'not-run'
		? {
				status: 503,
				reason: `server-${reason}`,
				message: 'No server took the request. It has not run.',
			}
		: {
				status: reason === 'timeout' ? 504 : 502,
				reason: `server-${reason}`,
				message: 'The server gave no whole answer. The request may have run.',
			};

const finishStream = async (
	{exchange}: RequestContext,
	{end, serverId}: {end: StreamEnd; serverId: UpstreamId},
	{beforeEnd, reader}: StreamOptions,
): Promise<string> => {
	if (end.type === 'abandoned') {
		return 'caller-left';
	}

	if (end.type === 'broken') {
		exchange.abort();
		return `stream-${end.reason}`;
	}

	try {
		await beforeEnd(reader, serverId);
	} catch (error) {
		exchange.abort();
		throw error;
	}

	exchange.end();
	return 'served';
};

/**
 * Forwards a request whose response is an event stream; each chunk is forwarded as it arrives. The request
 * is retried on another server only if it has not run.
 */
export const forwardStream = async (
	context: GatewayContext,
	request: RequestContext,
	options: StreamOptions,
): Promise<RequestOutcome> => {
	const excludedIds = new Set<UpstreamId>();
	let lastFailure = NO_SERVER;
	let attempts = 0;
	while (attempts < MAX_ATTEMPTS) {
		if (request.exchange.isFinished) {
			return {status: 499, reason: 'caller-left', attempts, isNotRun: true};
		}

		const denial = await checkAccess(context, request);
		if (denial) {
			lastFailure = denial;
			break;
		}

		const choice = await chooseWhenAdmitted(
			request,
			options.upstreams,
			excludedIds,
		);
		if (choice.type === 'left') {
			return {status: 499, reason: 'caller-left', attempts, isNotRun: true};
		}

		if ('refusal' in choice) {
			lastFailure = choice.refusal;
		}

		if (choice.type !== 'chosen' || performance.now() >= request.deadlineMs) {
			break;
		}

		const ended = await renewCredit(context, request, {attempts});
		if (ended) {
			return ended;
		}

		const {load} = choice;
		attempts++;
		const serverId = load.server.id;
		excludedIds.add(serverId);
		const result = await new Promise<StreamAttemptResult>((resolve) => {
			// eslint-disable-next-line no-new
			new StreamAttempt(request, load, options, resolve);
		});
		const attemptFields = {serverId, attempts};
		if (result.type === 'abandoned') {
			const isNotRun = result.verdict === 'not-run';
			return {status: 499, reason: 'caller-left', isNotRun, ...attemptFields};
		}

		if (result.type === 'streaming') {
			const reason = await finishStream(
				request,
				{end: result.end, serverId},
				options,
			);
			return {status: 200, reason, ...attemptFields};
		}

		if (result.type === 'answered' && !result.start.head.isNotRun) {
			const {status, headers} = result.start;
			request.exchange.respond(status, headers, result.body);
			return {status, reason: 'served', ...attemptFields};
		}

		const isRefused = result.type === 'answered';
		const reason = isRefused ? `status-${result.start.status}` : result.reason;
		const verdict = isRefused ? 'not-run' : result.verdict;
		context.retries.increment({step: 'forward', reason});
		lastFailure = describeFailure(reason, verdict);
		if (verdict !== 'not-run') {
			break;
		}
	}

	return refuseRequest(context, request, lastFailure, attempts);
};
