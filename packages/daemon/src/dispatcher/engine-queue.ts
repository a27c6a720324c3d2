import {
	type CallerService,
	createCallerService,
	estimateWorkMs,
	pickNext,
	type PolicySettings,
	type QueuedCall,
	readService,
	readTuning,
	recordService,
} from '@marjoramcove/scheduler';
import {MemoryGate} from './memory-gate.ts';
import PQueue, {type Queue, type QueueAddOptions} from 'p-queue';

type Run = () => Promise<unknown>;
type CallOptions = QueueAddOptions & {call?: QueuedCall};
type Entry = {run: Run; call: QueuedCall};

/** Queue of one upstream in the order of the scheduler. */
class ScheduledQueue implements Queue<Run, CallOptions> {
	readonly #policy: PolicySettings;
	#entries: Entry[] = [];
	#services: CallerService = createCallerService();

	constructor(policy: PolicySettings) {
		this.#policy = policy;
	}

	get size(): number {
		return this.#entries.length;
	}

	enqueue(run: Run, options?: Partial<CallOptions>): void {
		this.#entries.push({run, call: options!.call!});
	}

	dequeue(): Run | undefined {
		for (const {call} of this.#entries) {
			call.callerServiceMs = readService(this.#services, call.callerId);
		}

		const next = pickNext(
			this.#entries.map(({call}) => call),
			performance.now(),
			this.#policy,
		);
		const entry =
			this.#entries.find(({call}) => call === next) ?? this.#entries[0];
		if (!entry) {
			return undefined;
		}

		this.#entries = this.#entries.filter((other) => other !== entry);
		this.#charge(entry.call);
		return entry.run;
	}

	filter(): Run[] {
		return this.#entries.map(({run}) => run);
	}

	setPriority(): void {
		// The scheduler decides the order; entries have no priority of their own.
	}

	#charge(call: QueuedCall): void {
		const workMs = estimateWorkMs(
			{
				prefillTokens: Math.max(0, call.promptTokens - call.cachedTokens),
				completionTokens: call.expectedCompletionTokens,
			},
			readTuning(this.#policy),
		);
		const waiting = this.#entries.map(({call: other}) =>
			readService(this.#services, other.callerId),
		);
		this.#services = recordService(
			this.#services,
			call.callerId,
			workMs,
			waiting.length > 0 ? Math.min(...waiting) : undefined,
		);
	}
}

/** Sends at most `slots` calls at a time to one upstream, and no more than its memory takes. */
export class EngineQueue {
	readonly #queue: PQueue<ScheduledQueue, CallOptions>;
	readonly #gate: MemoryGate;

	/** @param capacityTokens - cache of the upstream; 0 while it is not known or for a plain service. */
	constructor(
		slots: number,
		policy: PolicySettings,
		capacityTokens: () => number,
	) {
		this.#gate = new MemoryGate(policy, capacityTokens);
		this.#queue = new PQueue<ScheduledQueue, CallOptions>({
			concurrency: Math.max(1, slots),
			queueClass: class extends ScheduledQueue {
				constructor() {
					super(policy);
				}
			},
		});
	}

	get waiting(): number {
		return this.#queue.size;
	}

	get inFlight(): number {
		return this.#queue.pending;
	}

	/** Follows a change of the registration. */
	setSlots(slots: number): void {
		if (this.#queue.concurrency !== slots && slots > 0) {
			this.#queue.concurrency = slots;
		}
	}

	/** Runs the task when the scheduler picks the call and a slot is free. */
	async run<Result>(
		call: QueuedCall,
		task: () => Promise<Result>,
	): Promise<Result> {
		return this.#queue.add(async () => this.#gate.run(call, task), {call});
	}
}
