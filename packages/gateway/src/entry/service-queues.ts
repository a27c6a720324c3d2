import type {AttemptOutcome, Placement} from '@marjoramcove/balancer';
import type {CallerExchange} from '@marjoramcove/ingress';
import {
	type AdmissionAction,
	type AdmissionEvent,
	type ArrivingCall,
	concurrencyOf,
	createAdmissionState,
	type RandomSource,
	type ServiceCapacity,
	stepAdmission,
} from '@marjoramcove/scheduler';
import {asId, type CallerId} from '@marjoramcove/types';
import type {GatewayContext} from '../gateway-context.ts';
import {AdmissionReports} from './admission-reports.ts';
import type {Refusal} from './refuse-request.ts';
import type {RequestContext} from './request-context.ts';

/** Age above which the load reports of the other entry daemons are not used; several intervals of the exchange. */
const LOAD_REPORT_MAX_AGE_MS = 1500;

/** Time for which the slots of a service are not counted again; reports of load are some 100 ms apart. */
const CAPACITY_AGE_MS = 25;

/** Interval at which waiting requests are looked at again, because the load of other daemons changes. */
const TICK_INTERVAL_MS = 10;

/** Team of the requests of a deployment without teams. */
const NO_TEAM = asId<CallerId>('');

/** Share of the target latency that a request is assumed to take while nothing is known of its route. */
const PRIOR_SHARE = 0.5;

/** Outcome of the admission of an attempt. */
export type Admission =
	{type: 'admitted'} | {type: 'refused'; refusal: Refusal} | {type: 'left'};

/** An attempt that waits for a slot or has one. */
type Attempt = {
	request: RequestContext;
	requestId: string;
	startedAtMs?: number;
	resolve: (admission: Admission) => void;
};

type Change =
	| {type: 'arrive'; call: ArrivingCall}
	| Omit<Extract<AdmissionEvent, {type: 'finish'}>, 'capacity' | 'service'>
	| {type: 'leave'; requestId: string}
	| {type: 'tick'};

type CountedCapacity = {countedAtMs: number; capacity: ServiceCapacity};

const countPromptTokens = ({head, route}: RequestContext): number => {
	let tokens = head.promptTokens ?? 0;
	if (head.promptParts) {
		tokens = 0;
		for (const part of head.promptParts) {
			tokens += part.tokens;
		}
	}

	// A stream is a call of a model engine even if the prompt is not described.
	return route.kind === 'stream' ? Math.max(1, tokens) : 0;
};

const createCall = (
	request: RequestContext,
	requestId: string,
	isRetry: boolean,
): ArrivingCall => {
	const {head, route, exchange, service} = request;
	const isTurn = route.kind === 'stream' && head.programId !== undefined;
	return {
		requestId,
		service,
		routeName: route.name,
		programId: head.programId,
		callerId: request.teamId ?? NO_TEAM,
		isTurn,
		isFirstTurn: isTurn && head.previousTurnId === undefined,
		promptTokens: countPromptTokens(request),
		priorMs: route.targetLatencyMs * PRIOR_SHARE,
		priority: request.priority,
		deadlineMs: request.deadlineMs,
		programDeadlineMs:
			head.programDeadlineMs === undefined
				? undefined
				: exchange.receivedAtMs + head.programDeadlineMs,
		targetLatencyMs: route.targetLatencyMs,
		isRetry,
	};
};

/**
 * Holds the attempts of this entry daemon back until the scheduler lets them be sent to their service.
 *
 * The load that it answers: more requests than the servers of a service can serve at a time.
 *
 * @example
 * ```ts
 * const admission = await queues.enter(request, {isRetry: false});
 * // After the attempt:
 * queues.finish(request, {outcome: 'answered', isRefusedAsFull: false, generatedTokens: 120});
 * ```
 */
export class ServiceQueues {
	readonly #context: GatewayContext;
	readonly #placement: Placement;
	readonly #random: RandomSource;
	readonly #reports: AdmissionReports;
	readonly #state = createAdmissionState();
	readonly #byExchange = new Map<CallerExchange, Attempt>();
	readonly #byId = new Map<string, Attempt>();
	readonly #capacities = new Map<string, CountedCapacity>();
	#nextId = 0;
	#timer: NodeJS.Timeout | undefined;

	constructor(
		context: GatewayContext,
		placement: Placement,
		random: RandomSource = Math.random,
	) {
		this.#context = context;
		this.#placement = placement;
		this.#random = random;
		this.#reports = new AdmissionReports(context);
	}

	/** Number of attempts that wait. */
	get waiting(): number {
		let count = 0;
		for (const queue of this.#state.queues.values()) {
			count += queue.waiting.size;
		}

		return count;
	}

	/** Waits until the attempt may be sent; an admitted one must be followed by `finish` or `abandon`. */
	async enter(
		request: RequestContext,
		{isRetry}: {isRetry: boolean},
	): Promise<Admission> {
		const {exchange} = request;
		this.abandon(exchange);
		if (exchange.isFinished) {
			return {type: 'left'};
		}

		const requestId = String(this.#nextId++);
		let removeListener: (() => void) | undefined;
		const admission = await new Promise<Admission>((resolve) => {
			const attempt = {request, requestId, resolve};
			this.#byExchange.set(exchange, attempt);
			this.#byId.set(requestId, attempt);
			removeListener = exchange.onDisconnect(() => {
				if (this.#byId.get(requestId)?.startedAtMs === undefined) {
					this.abandon(exchange);
					resolve({type: 'left'});
				}
			});
			const call = createCall(request, requestId, isRetry);
			this.#step(request.service, {type: 'arrive', call});
		});
		removeListener?.();
		return admission;
	}

	/** Records the end of an attempt that was sent; further calls for the same attempt do nothing. */
	finish(
		{exchange, service, progress}: RequestContext,
		end: {
			outcome: AttemptOutcome;
			/** Whether the server refused the request because it was full. */
			isRefusedAsFull: boolean;
			generatedTokens: number;
		},
	): void {
		const attempt = this.#byExchange.get(exchange);
		if (attempt?.startedAtMs === undefined) {
			return;
		}

		this.#forget(attempt);
		const {requestId, startedAtMs} = attempt;
		const firstByteMs =
			progress.firstByteMs === undefined
				? undefined
				: exchange.receivedAtMs + progress.firstByteMs - startedAtMs;
		const outcome = end.isRefusedAsFull
			? 'full'
			: end.outcome === 'answered'
				? 'served'
				: 'failed';
		this.#step(service, {
			type: 'finish',
			requestId,
			end: {
				outcome,
				// The first byte of an earlier attempt says nothing about this one.
				firstByteMs:
					firstByteMs === undefined || firstByteMs < 0
						? undefined
						: firstByteMs,
				generatedTokens: end.generatedTokens,
			},
		});
	}

	/** Ends the wait of a request, or releases its slot if it was admitted but not sent. */
	abandon(exchange: CallerExchange): void {
		const attempt = this.#byExchange.get(exchange);
		if (!attempt) {
			return;
		}

		this.#forget(attempt);
		const {requestId, request, startedAtMs} = attempt;
		this.#step(
			request.service,
			startedAtMs === undefined
				? {type: 'leave', requestId}
				: {
						type: 'finish',
						requestId,
						end: {outcome: 'failed', generatedTokens: 0},
					},
		);
	}

	close(): void {
		clearInterval(this.#timer);
		this.#timer = undefined;
		for (const attempt of this.#byId.values()) {
			attempt.resolve({type: 'left'});
		}

		this.#byId.clear();
		this.#byExchange.clear();
	}

	#forget({request, requestId}: Attempt): void {
		this.#byExchange.delete(request.exchange);
		this.#byId.delete(requestId);
	}

	#step(service: string, change: Change): void {
		const nowMs = performance.now();
		const capacity = this.#capacity(service, nowMs);
		const event: AdmissionEvent = {...change, service, capacity};
		const actions = stepAdmission(this.#state, event, nowMs, this.#random);
		for (const action of actions) {
			this.#apply(action, {service, capacity, nowMs});
		}

		const queue = this.#state.queues.get(service)!;
		this.#reports.recordQueue(
			service,
			{
				waiting: queue.waiting.size,
				inFlight: queue.started.size,
				limit: concurrencyOf(queue),
				usableShare: queue.limit.usableShare,
			},
			nowMs,
		);
		if (queue.waiting.size > 0) {
			this.#timer ??= setInterval(() => {
				this.#tick();
			}, TICK_INTERVAL_MS);
		}
	}

	#tick(): void {
		for (const [service, {waiting}] of this.#state.queues) {
			if (waiting.size > 0) {
				this.#step(service, {type: 'tick'});
			}
		}

		if (this.waiting === 0) {
			clearInterval(this.#timer);
			this.#timer = undefined;
		}
	}

	#apply(
		action: AdmissionAction,
		{
			service,
			capacity,
			nowMs,
		}: {service: string; capacity: ServiceCapacity; nowMs: number},
	): void {
		const attempt = this.#byId.get(action.requestId);
		if (!attempt) {
			return;
		}

		if (action.type === 'send') {
			attempt.startedAtMs = nowMs;
			this.#reports.recordSend(service, action.waitedMs);
			attempt.resolve({type: 'admitted'});
			return;
		}

		this.#forget(attempt);
		this.#reports.recordRefusal(attempt.request, action, capacity);
		attempt.resolve({
			type: 'refused',
			refusal: {
				status: 503,
				reason: `admission-${action.reason}`,
				message:
					'The service has no capacity for the request in time. It has not run.',
				retryAfterMs: action.retryAfterMs,
			},
		});
	}

	/** Counts the slots of the servers that take requests, and the load of other daemons there. */
	#capacity(service: string, nowMs: number): ServiceCapacity {
		const known = this.#capacities.get(service);
		if (known && nowMs - known.countedAtMs < CAPACITY_AGE_MS) {
			return known.capacity;
		}

		let slots = 0;
		let othersInFlight = 0;
		for (const load of this.#placement.servers) {
			const {server, leaving, health} = load;
			const takesRequests =
				server.service === service &&
				leaving.isStaying &&
				!health.isAvoided(nowMs);
			if (takesRequests) {
				slots += server.slots;
				othersInFlight += load.othersInFlight;
			}
		}

		const {view, loadReportedAtMs} = this.#context;
		const readyEntries = view
			.membersWithRole('entry')
			.filter(({phase}) => phase === 'ready');
		const capacity = {
			slots,
			othersInFlight,
			entryDaemons: Math.max(1, readyEntries.length),
			isInformed: nowMs - loadReportedAtMs < LOAD_REPORT_MAX_AGE_MS,
		};
		this.#capacities.set(service, {countedAtMs: nowMs, capacity});
		return capacity;
	}
}
