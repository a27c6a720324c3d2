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
import PQueue, {type Queue, type QueueAddOptions} from 'p-queue';

type Run = () => Promise<unknown>;
type CallOptions = QueueAddOptions & {call?: QueuedCall};
type Entry = {run: Run; call: QueuedCall};

/** Queue of one upstream in the order of the scheduler. */
class ScheduledQueue implements Queue<Run, CallOptions> {
	static policy: PolicySettings = {latencyWeight: 1, cacheWeight: 1};
	#entries: Entry[] = [];
	#services: CallerService = createCallerService();

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
			ScheduledQueue.policy,
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
			readTuning(ScheduledQueue.policy),
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

/** Sends at most `slots` calls at a time to one upstream; the others wait here. */
export class EngineQueue {
	readonly #queue: PQueue<ScheduledQueue, CallOptions>;

	constructor(slots: number, policy: PolicySettings) {
		ScheduledQueue.policy = policy;
		this.#queue = new PQueue<ScheduledQueue, CallOptions>({
			concurrency: Math.max(1, slots),
			queueClass: ScheduledQueue,
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
		return this.#queue.add(task, {call});
	}
}
