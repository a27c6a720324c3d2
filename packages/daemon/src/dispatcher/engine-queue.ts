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
import {MemoryLimiter} from './memory-limiter.ts';
import PQueue, {type Queue, type QueueAddOptions} from 'p-queue';

type Task = () => Promise<unknown>;
type CallOptions = QueueAddOptions & {call?: QueuedCall};
type QueueEntry = {task: Task; call: QueuedCall};

/** Queue of one upstream, ordered by the scheduler. */
class ScheduledQueue implements Queue<Task, CallOptions> {
	readonly #policy: PolicySettings;
	#entries: QueueEntry[] = [];
	#services: CallerService = createCallerService();

	constructor(policy: PolicySettings) {
		this.#policy = policy;
	}

	get size(): number {
		return this.#entries.length;
	}

	enqueue(task: Task, options?: Partial<CallOptions>): void {
		this.#entries.push({task, call: options!.call!});
	}

	dequeue(): Task | undefined {
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
		this.#recordWork(entry.call);
		return entry.task;
	}

	filter(): Task[] {
		return this.#entries.map(({task}) => task);
	}

	setPriority(): void {
		// The scheduler decides the order; entries have no priority of their own.
	}

	#recordWork(call: QueuedCall): void {
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

/** Runs at most `slots` calls at a time at one upstream, and no more than fit into its memory. */
export class EngineQueue {
	readonly #queue: PQueue<ScheduledQueue, CallOptions>;
	readonly #memoryLimiter: MemoryLimiter;

	/** @param capacityTokens - cache capacity of the upstream; 0 while unknown, and for services. */
	constructor(
		slots: number,
		policy: PolicySettings,
		capacityTokens: () => number,
	) {
		this.#memoryLimiter = new MemoryLimiter(policy, capacityTokens);
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

	/** Applies the number of slots of a changed registration. */
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
		return this.#queue.add(async () => this.#memoryLimiter.run(call, task), {
			call,
		});
	}
}
