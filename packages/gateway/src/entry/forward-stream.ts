import type {ServerLoad} from '@marjoramcove/balancer';
import type {
	AnswerHead,
	AnswerStart,
	StreamReader,
	UpstreamExchange,
} from '@marjoramcove/ingress';
import type {RouteTable} from '@marjoramcove/routes';
import type {UpstreamId, Verdict} from '@marjoramcove/types';
import type {GatewayContext} from '../gateway-context.ts';
import {refuse, type Refusal} from './answer-caller.ts';
import {findAnswerFault} from './find-answer-fault.ts';
import {
	type RequestContext,
	type RequestOutcome,
	sinceReceipt,
} from './request-context.ts';
import type {Upstreams} from './upstreams.ts';

/** Servers to which one request is offered that none of them runs. */
const MAX_OFFERS = 4;

/** How a stream that was passed on ended. */
type StreamEnd =
	{type: 'complete'} | {type: 'broken'; reason: string} | {type: 'abandoned'};

type Offer =
	/** Head and events go to the caller. */
	| {type: 'streaming'; end: StreamEnd}
	/** A whole answer that is not a stream of events. */
	| {type: 'answered'; start: AnswerStart & {head: AnswerHead}; body: Buffer}
	| {type: 'failed'; verdict: Verdict; reason: string}
	| {type: 'abandoned'};

export type StreamParts = {
	upstreams: Upstreams;
	table: RouteTable;
	/** Runs after the last event and before the answer is complete; a failure breaks the answer off. */
	beforeEnd: (reader: StreamReader, serverId: UpstreamId) => Promise<void>;
	reader: StreamReader;
};

/** Offers the request to one server and passes its stream on. */
class StreamOffer {
	readonly #request: RequestContext;
	readonly #reader: StreamReader;
	readonly #resolve: (offer: Offer) => void;
	readonly #stopListening: () => void;
	readonly #sent: UpstreamExchange;
	readonly #timer: NodeJS.Timeout;
	#start: (AnswerStart & {head: AnswerHead}) | undefined;
	readonly #chunks: Uint8Array[] = [];
	#verdict: Verdict = 'not-run';
	#isStreaming = false;
	#isOver = false;

	constructor(
		request: RequestContext,
		load: ServerLoad,
		{upstreams, table, reader}: StreamParts,
		resolve: (offer: Offer) => void,
	) {
		this.#request = request;
		this.#reader = reader;
		this.#resolve = resolve;
		this.#stopListening = request.exchange.onAbandoned(() => {
			this.#sent.cancel();
			this.#finish(
				this.#isStreaming
					? {type: 'streaming', end: {type: 'abandoned'}}
					: {type: 'abandoned'},
			);
		});

		this.#timer = setTimeout(
			() => {
				this.#sent.cancel();
				this.#fail('timeout', this.#verdict);
			},
			Math.max(0, request.deadlineMs - performance.now()),
		);
		this.#sent = upstreams.send(request, load, table, {
			onSent: () => {
				this.#verdict = 'may-have-run';
				request.progress.sentMs = sinceReceipt(request);
			},
			onStart: (answer) => {
				this.#noteStart(answer);
			},
			onData: (chunk) => {
				this.#noteData(chunk);
			},
			onEnd: () => {
				this.#noteEnd();
			},
			onFailure: ({code, verdict}) => {
				this.#fail(code, verdict);
			},
		});
	}

	#noteStart(answer: AnswerStart & {head: AnswerHead}): void {
		this.#start = answer;
		const fault = findAnswerFault(this.#request.head, answer);
		if (fault !== undefined) {
			this.#sent.cancel();
			this.#fail(fault, this.#verdict);
		} else if (answer.status === 200) {
			this.#isStreaming = true;
			this.#request.exchange.start(answer.status, answer.headers);
		}
	}

	#noteData(chunk: Uint8Array): void {
		if (!this.#isStreaming) {
			this.#chunks.push(chunk);
			return;
		}

		const {exchange, progress} = this.#request;
		progress.firstByteMs ??= sinceReceipt(this.#request);
		this.#reader.push(chunk);
		exchange.write(chunk);
		if (exchange.isCongested) {
			this.#sent.pause();
			exchange.onceDrained(() => {
				this.#sent.resume();
			});
		}
	}

	#noteEnd(): void {
		if (this.#isStreaming) {
			this.#finish({type: 'streaming', end: {type: 'complete'}});
		} else {
			const body = Buffer.concat(this.#chunks);
			this.#finish({type: 'answered', start: this.#start!, body});
		}
	}

	#fail(reason: string, verdict: Verdict): void {
		this.#finish(
			this.#isStreaming
				? {type: 'streaming', end: {type: 'broken', reason}}
				: {type: 'failed', verdict, reason},
		);
	}

	#finish(offer: Offer): void {
		if (!this.#isOver) {
			this.#isOver = true;
			clearTimeout(this.#timer);
			this.#stopListening();
			this.#resolve(offer);
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
	{beforeEnd, reader}: StreamParts,
): Promise<string> => {
	if (end.type === 'abandoned') {
		return 'caller-left';
	}

	if (end.type === 'broken') {
		exchange.breakOff();
		return `stream-${end.reason}`;
	}

	try {
		await beforeEnd(reader, serverId);
	} catch (error) {
		exchange.breakOff();
		throw error;
	}

	exchange.end();
	return 'served';
};

/**
 * Forwards a request whose answer is a stream of events; each piece is passed on as it arrives. The
 * request is offered to another server only while it has not run.
 */
export const forwardStream = async (
	context: GatewayContext,
	request: RequestContext,
	parts: StreamParts,
): Promise<RequestOutcome> => {
	const excludedIds = new Set<UpstreamId>();
	let lastFailure = NO_SERVER;
	let offers = 0;
	while (offers < MAX_OFFERS) {
		if (request.exchange.isFinished) {
			return {status: 499, reason: 'caller-left', attempts: offers};
		}

		const load = parts.upstreams.choose(request, excludedIds);
		if (!load || performance.now() >= request.deadlineMs) {
			break;
		}

		offers++;
		const serverId = load.server.id;
		excludedIds.add(serverId);
		const offer = await new Promise<Offer>((resolve) => {
			// eslint-disable-next-line no-new
			new StreamOffer(request, load, parts, resolve);
		});
		const done = {serverId, attempts: offers};
		if (offer.type === 'abandoned') {
			return {status: 499, reason: 'caller-left', ...done};
		}

		if (offer.type === 'streaming') {
			const reason = await finishStream(
				request,
				{end: offer.end, serverId},
				parts,
			);
			return {status: 200, reason, ...done};
		}

		if (offer.type === 'answered' && !offer.start.head.isNotRun) {
			const {status, headers} = offer.start;
			request.exchange.answer(status, headers, offer.body);
			return {status, reason: 'served', ...done};
		}

		const isRefused = offer.type === 'answered';
		const reason = isRefused ? `status-${offer.start.status}` : offer.reason;
		const verdict = isRefused ? 'not-run' : offer.verdict;
		context.retries.increment({step: 'forward', reason});
		lastFailure = describeFailure(reason, verdict);
		if (verdict !== 'not-run') {
			break;
		}
	}

	return refuse(context, request, lastFailure, offers);
};
