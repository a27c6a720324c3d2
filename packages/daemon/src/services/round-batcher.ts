/** Batches requests into rounds: a round serves all requests that arrived before it started. */
export class RoundBatcher {
	readonly #run: () => Promise<void>;
	readonly #intervalMs: number;
	#waiting: PromiseWithResolvers | undefined;
	#isUrgent = false;
	#isRunning = false;
	#startedAtMs = Number.NEGATIVE_INFINITY;
	#timer: NodeJS.Timeout | undefined;

	/**
	 * @param run - runs one round.
	 * @param intervalMs - minimum time between the starts of two rounds; an urgent request ignores it.
	 */
	constructor(run: () => Promise<void>, intervalMs: number) {
		this.#run = run;
		this.#intervalMs = intervalMs;
	}

	/**
	 * Resolves after a round that started after this call; rejects when the round fails.
	 *
	 * @example
	 * ```ts
	 * await batcher.next({isUrgent: true});
	 * ```
	 */
	async next({isUrgent = false}: {isUrgent?: boolean} = {}): Promise<void> {
		this.#waiting ??= createDeferred();
		this.#isUrgent ||= isUrgent;
		const {promise} = this.#waiting;
		this.#schedule();
		return promise;
	}

	stop(): void {
		clearTimeout(this.#timer);
	}

	#schedule(): void {
		if (this.#isRunning || !this.#waiting) {
			return;
		}

		clearTimeout(this.#timer);
		const delayMs = this.#isUrgent
			? 0
			: this.#startedAtMs + this.#intervalMs - performance.now();
		if (delayMs > 0) {
			this.#timer = setTimeout(() => {
				void this.#start();
			}, delayMs);
		} else {
			void this.#start();
		}
	}

	async #start(): Promise<void> {
		const waiting = this.#waiting;
		if (this.#isRunning || !waiting) {
			return;
		}

		this.#waiting = undefined;
		this.#isUrgent = false;
		this.#isRunning = true;
		this.#startedAtMs = performance.now();
		try {
			await this.#run();
			waiting.resolve();
		} catch (error) {
			waiting.reject(error);
		} finally {
			this.#isRunning = false;
			this.#schedule();
		}
	}
}

type PromiseWithResolvers = {
	promise: Promise<void>;
	resolve: () => void;
	reject: (error: unknown) => void;
};

const createDeferred = (): PromiseWithResolvers => {
	const deferred: Partial<PromiseWithResolvers> = {};
	deferred.promise = new Promise<void>((resolve, reject) => {
		deferred.resolve = resolve;
		deferred.reject = reject;
	});
	return deferred as PromiseWithResolvers;
};
