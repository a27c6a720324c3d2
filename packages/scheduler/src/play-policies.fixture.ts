import {
	type AdmissionAction,
	createAdmissionState,
	type ServiceCapacity,
	stepAdmission,
	type AdmissionState,
	type AdmissionEvent,
} from './index.ts';
import {
	type CallResult,
	createRandom,
	LOADED_FROM_MS,
	LOADED_UNTIL_MS,
	type Play,
	type PlayCall,
	PlayCallers,
	PlayPolicy,
	type PlayRecord,
	VirtualClock,
} from './play.fixture.ts';

const ENGINE = {slots: 12, queue: 36};
const TOOL = {slots: 6, queue: 24};

/** Retry delay of a server that is full. */
const FULL_RETRY_MS = 100;

/** Servers of each service with a shared count; a server is not modelled on its own. */
const serversAt = (play: Play, service: string, nowMs: number): number => {
	const isLoaded = nowMs >= LOADED_FROM_MS && nowMs < LOADED_UNTIL_MS;
	return service === 'tool'
		? play.toolServers
		: play.engines * (1 - (isLoaded ? (play.lostEngineShare ?? 0) : 0));
};

const sizeOf = (service: string) => (service === 'tool' ? TOOL : ENGINE);

type QueuedEntry = {
	item: PlayCall;
	arrivedAtMs: number;
	onResult: (result: CallResult) => void;
};

export type BaselineOrder = (
	left: QueuedEntry,
	right: QueuedEntry,
	nowMs: number,
) => number;

export const ORDERS: Record<string, BaselineOrder> = {
	'first come': (left, right) => left.arrivedAtMs - right.arrivedAtMs,
	'priority only': (left, right) =>
		left.item.call.priority - right.item.call.priority ||
		left.arrivedAtMs - right.arrivedAtMs,
	'least slack': (left, right) =>
		(left.item.call.programDeadlineMs ?? left.item.call.deadlineMs) -
		left.item.call.priorMs -
		(right.item.call.programDeadlineMs ?? right.item.call.deadlineMs) +
		right.item.call.priorMs,
};

/** Servers with one common queue in a fixed order: an ideal form of what servers do without admission. */
export class CommonQueue extends PlayPolicy {
	readonly #clock: VirtualClock;
	readonly #play: Play;
	readonly #order: BaselineOrder;
	readonly #queues = new Map<
		string,
		{running: number; entries: QueuedEntry[]}
	>();

	constructor(clock: VirtualClock, play: Play, order: BaselineOrder) {
		super();
		this.#clock = clock;
		this.#play = play;
		this.#order = order;
	}

	override submit(item: PlayCall, onResult: (result: CallResult) => void) {
		const queue = this.#queueOf(item.service);
		const servers = serversAt(this.#play, item.service, this.#clock.nowMs);
		const entry = {item, arrivedAtMs: this.#clock.nowMs, onResult};
		if (queue.entries.length >= servers * sizeOf(item.service).queue) {
			onResult({type: 'refused', retryAfterMs: FULL_RETRY_MS});
		} else {
			queue.entries.push(entry);
			this.#serve(item.service);
		}

		return () => {
			queue.entries = queue.entries.filter((other) => other !== entry);
		};
	}

	#queueOf(service: string) {
		const queue = this.#queues.get(service) ?? {running: 0, entries: []};
		this.#queues.set(service, queue);
		return queue;
	}

	#serve(service: string): void {
		const {nowMs} = this.#clock;
		const queue = this.#queueOf(service);
		const slots = serversAt(this.#play, service, nowMs) * sizeOf(service).slots;
		while (queue.running < slots && queue.entries.length > 0) {
			let next = queue.entries[0]!;
			for (const entry of queue.entries) {
				if (this.#order(entry, next, nowMs) < 0) {
					next = entry;
				}
			}

			queue.entries = queue.entries.filter((entry) => entry !== next);
			queue.running++;
			this.#clock.at(nowMs + next.item.serviceMs, () => {
				queue.running--;
				next.onResult({type: 'served'});
				this.#serve(service);
			});
		}
	}
}

/** Interval of the load reports between daemons, and of the ticks while calls wait. */
const REPORT_MS = 200;
const TICK_MS = 20;

type Daemon = {
	state: AdmissionState;
	inFlight: Record<string, number>;
	others: Record<string, number>;
	results: Map<
		string,
		{item: PlayCall; onResult: (result: CallResult) => void}
	>;
};

/** Entry daemons with the admission under test; each knows the load of the others from late reports. */
export class AdmissionDaemons extends PlayPolicy {
	readonly #clock: VirtualClock;
	readonly #play: Play;
	readonly #random: () => number;
	readonly #daemons: Daemon[];
	readonly #servers: CommonQueue;

	constructor(
		clock: VirtualClock,
		play: Play,
		{daemons, random}: {daemons: number; random: () => number},
	) {
		super();
		this.#clock = clock;
		this.#play = play;
		this.#random = random;
		this.#servers = new CommonQueue(clock, play, ORDERS['first come']!);
		this.#daemons = Array.from({length: daemons}, () => ({
			state: createAdmissionState(),
			inFlight: {},
			others: {},
			results: new Map(),
		}));
		for (let timeMs = 0; timeMs < 100_000; timeMs += TICK_MS) {
			clock.at(timeMs, () => {
				this.#tick(timeMs % REPORT_MS === 0);
			});
		}
	}

	override submit(item: PlayCall, onResult: (result: CallResult) => void) {
		const daemon =
			this.#daemons[Math.floor(this.#random() * this.#daemons.length)]!;
		const {requestId} = item.call;
		daemon.results.set(requestId, {item, onResult});
		this.#step(daemon, item.service, {type: 'arrive', call: item.call});
		return () => {
			if (daemon.state.queues.get(item.service)?.waiting.has(requestId)) {
				daemon.results.delete(requestId);
				this.#step(daemon, item.service, {type: 'leave', requestId});
			}
		};
	}

	#tick(hasReport: boolean): void {
		for (const daemon of this.#daemons) {
			if (hasReport) {
				for (const service of ['engine', 'tool']) {
					daemon.others[service] = this.#daemons.reduce(
						(sum, other) =>
							sum + (other === daemon ? 0 : (other.inFlight[service] ?? 0)),
						0,
					);
				}
			}

			for (const [service, {waiting}] of daemon.state.queues) {
				if (waiting.size > 0) {
					this.#step(daemon, service, {type: 'tick'});
				}
			}
		}
	}

	#capacity(daemon: Daemon, service: string): ServiceCapacity {
		const {nowMs} = this.#clock;
		return {
			slots: serversAt(this.#play, service, nowMs) * sizeOf(service).slots,
			othersInFlight: daemon.others[service] ?? 0,
			entryDaemons: this.#daemons.length,
			isInformed: true,
		};
	}

	#step(
		daemon: Daemon,
		service: string,
		change:
			| Pick<Extract<AdmissionEvent, {type: 'arrive'}>, 'call' | 'type'>
			| Pick<
					Extract<AdmissionEvent, {type: 'finish'}>,
					'end' | 'requestId' | 'type'
			  >
			| Pick<Extract<AdmissionEvent, {type: 'leave'}>, 'requestId' | 'type'>
			| Pick<Extract<AdmissionEvent, {type: 'tick'}>, 'type'>,
	): void {
		const actions = stepAdmission(
			daemon.state,
			{...change, service, capacity: this.#capacity(daemon, service)},
			this.#clock.nowMs,
			this.#random,
		);
		for (const action of actions) {
			this.#apply(daemon, service, action);
		}
	}

	#apply(daemon: Daemon, service: string, action: AdmissionAction): void {
		const {requestId} = action;
		const {item, onResult} = daemon.results.get(requestId)!;
		daemon.results.delete(requestId);
		if (action.type === 'refuse') {
			const {retryAfterMs} = action;
			// The caller learns of it after the step, as it does over a connection.
			this.#clock.at(this.#clock.nowMs, () => {
				onResult({type: 'refused', retryAfterMs});
			});
			return;
		}

		daemon.inFlight[service] = (daemon.inFlight[service] ?? 0) + 1;
		const sentAtMs = this.#clock.nowMs;
		this.#servers.submit(item, (result) => {
			daemon.inFlight[service]!--;
			const isServed = result.type === 'served';
			this.#clock.at(this.#clock.nowMs, () => {
				this.#step(daemon, service, {
					type: 'finish',
					requestId,
					end: {
						outcome: isServed ? 'served' : 'full',
						// The wait at the server, and reading the prompt.
						firstByteMs: this.#clock.nowMs - sentAtMs - item.serviceMs * 0.8,
						generatedTokens: item.serviceMs / 20,
					},
				});
				onResult(result);
			});
		});
	}
}

/** Plays a load under a policy. */
export const runPlay = (
	play: Play,
	createPolicy: (
		clock: VirtualClock,
		play: Play,
		random: () => number,
	) => PlayPolicy,
	seed: number,
): PlayRecord => {
	const clock = new VirtualClock();
	const policy = createPolicy(clock, play, createRandom(seed + 1));
	const callers = new PlayCallers(clock, policy, seed);
	callers.scheduleArrivals(play);
	clock.run();
	return callers.record;
};
