import {
	hasRoom,
	type PolicySettings,
	type QueuedCall,
} from '@marjoramcove/scheduler';
import PQueue from 'p-queue';

type CallSize = Pick<QueuedCall, 'promptTokens' | 'expectedCompletionTokens'>;

const tokensOf = ({promptTokens, expectedCompletionTokens}: CallSize): number =>
	promptTokens + expectedCompletionTokens;

/**
 * Lets calls into an engine only while its cache has room for them beside the prefixes of paused
 * programs. Calls enter in the order in which they ask, so that a large one does not starve.
 *
 * @example
 * ```ts
 * const result = await gate.run(call, async () => send(call));
 * ```
 */
export class MemoryGate {
	readonly #policy: PolicySettings;
	readonly #capacityTokens: () => number;
	readonly #entrance = new PQueue({concurrency: 1});
	#inFlight = 0;
	#inFlightTokens = 0;
	#wake: (() => void) | undefined;

	/** @param capacityTokens - cache of the engine; 0 while it is not known, then nothing waits. */
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
		await this.#entrance.add(async () => this.#enter(call));
		try {
			return await task();
		} finally {
			this.#inFlight--;
			this.#inFlightTokens -= tokensOf(call);
			this.#wake?.();
		}
	}

	async #enter(call: CallSize): Promise<void> {
		while (!this.#hasRoom(call)) {
			await new Promise<void>((resolve) => {
				this.#wake = resolve;
			});
		}

		this.#inFlight++;
		this.#inFlightTokens += tokensOf(call);
	}

	#hasRoom(call: CallSize): boolean {
		const cacheCapacityTokens = this.#capacityTokens();
		return (
			cacheCapacityTokens <= 0 ||
			hasRoom(
				{
					// The queue in front of the gate bounds the number of calls.
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
