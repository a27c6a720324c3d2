import {
	hasCapacity,
	type PolicySettings,
	type QueuedCall,
} from '@marjoramcove/scheduler';
import PQueue from 'p-queue';

type CallSize = Pick<QueuedCall, 'promptTokens' | 'expectedCompletionTokens'>;

const sumTokens = ({
	promptTokens,
	expectedCompletionTokens,
}: CallSize): number => promptTokens + expectedCompletionTokens;

/**
 * Admits calls to an engine only while its cache has room for them besides the prefixes of paused
 * programs. Calls are admitted in order of arrival, so that a large one does not starve.
 *
 * @example
 * ```ts
 * const result = await limiter.run(call, async () => send(call));
 * ```
 */
export class MemoryLimiter {
	readonly #policy: PolicySettings;
	readonly #capacityTokens: () => number;
	readonly #admissionQueue = new PQueue({concurrency: 1});
	#inFlight = 0;
	#inFlightTokens = 0;
	#resumeAdmission: (() => void) | undefined;

	/** @param capacityTokens - cache capacity of the engine; while it is unknown (0), no call waits. */
	constructor(policy: PolicySettings, capacityTokens: () => number) {
		this.#policy = policy;
		this.#capacityTokens = capacityTokens;
	}

	get inFlightTokens(): number {
		return this.#inFlightTokens;
	}

	/** Runs the task when there is room for the call. */
	async run<Result>(
		call: CallSize,
		task: () => Promise<Result>,
	): Promise<Result> {
		await this.#admissionQueue.add(async () => this.#admit(call));
		try {
			return await task();
		} finally {
			this.#inFlight--;
			this.#inFlightTokens -= sumTokens(call);
			this.#resumeAdmission?.();
		}
	}

	async #admit(call: CallSize): Promise<void> {
		while (!this.#hasCapacity(call)) {
			await new Promise<void>((resolve) => {
				this.#resumeAdmission = resolve;
			});
		}

		this.#inFlight++;
		this.#inFlightTokens += sumTokens(call);
	}

	#hasCapacity(call: CallSize): boolean {
		const cacheCapacityTokens = this.#capacityTokens();
		return (
			cacheCapacityTokens <= 0 ||
			hasCapacity(
				{
					// The queue in front of the limiter bounds the number of calls.
					slots: Number.POSITIVE_INFINITY,
					inFlight: this.#inFlight,
					inFlightTokens: this.#inFlightTokens,
					cacheCapacityTokens,
				},
				call,
				this.#policy,
			)
		);
	}
}
