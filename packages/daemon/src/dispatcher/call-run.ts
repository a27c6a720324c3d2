import type {CallOutcome} from '@marjoramcove/programs';
import type {
	AttemptStatus,
	CallPayload,
	DispatchEvent,
	Grant,
	Usage,
} from '../call-contracts.ts';

/** Result of an attempt before it is settled. */
export type AttemptResult = {
	outcome: CallOutcome;
	content: string;
	finishReason: string;
	toolCalls?: unknown[];
	usage?: Usage;
};

/** An attempt at its dispatcher: the text received so far, the state and the readers. */
export class CallRun {
	readonly grant: Grant;
	readonly payload: CallPayload;
	/** Monotonic time after which the call must not be sent any more. */
	readonly deadlineMs: number;
	readonly receivedMs = performance.now();
	/** Cancels the request to the upstream. */
	readonly abortController = new AbortController();
	status: AttemptStatus = 'queued';
	text: string;
	finishedMs = Number.POSITIVE_INFINITY;
	/** Time that the upstream took; undefined until it has answered. */
	upstreamMs: number | undefined;
	#finalEvent: DispatchEvent | undefined;
	/** Callbacks of readers that wait for text or the end, and of those that wait only for the end. */
	readonly #waiters = new Set<() => void>();
	readonly #endWaiters = new Set<() => void>();

	constructor({grant, payload}: {grant: Grant; payload: CallPayload}) {
		this.grant = grant;
		this.payload = payload;
		this.text = payload.prefix;
		this.deadlineMs = this.receivedMs + grant.timeoutMs;
	}

	get isFinished(): boolean {
		return this.#finalEvent !== undefined;
	}

	/** Appends generated text and notifies the readers. */
	append(text: string): void {
		if (!this.#finalEvent) {
			this.text += text;
			this.#notifyReaders();
		}
	}

	/** Ends the run; further calls have no effect. */
	finish(status: AttemptStatus, event: DispatchEvent): void {
		if (!this.#finalEvent) {
			this.status = status;
			this.#finalEvent = event;
			this.finishedMs = performance.now();
			this.#notifyReaders();
			for (const notify of this.#endWaiters) {
				notify();
			}
		}
	}

	/**
	 * Streams the text from an offset, then the final event. Pending text is joined into one chunk, and
	 * chunks are at least `coalesceMs` apart; the end is not delayed.
	 */
	async *read(
		fromOffset: number,
		signal: AbortSignal,
		coalesceMs = 0,
	): AsyncGenerator<DispatchEvent> {
		let offset = Math.min(fromOffset, this.text.length);
		while (!signal.aborted) {
			const text = this.#encodableTextFrom(offset);
			if (text !== '') {
				yield {type: 'chunk', offset, text};
				offset += text.length;
				if (coalesceMs > 0 && !this.isFinished && !signal.aborted) {
					await this.#wait(this.#endWaiters, signal, coalesceMs);
				}
			} else if (this.#finalEvent) {
				yield this.#finalEvent;
				return;
			} else {
				await this.#wait(this.#waiters, signal);
			}
		}
	}

	/** Text from an offset; holds back half a surrogate pair, which UTF-8 on the link cannot encode. */
	#encodableTextFrom(offset: number): string {
		const text = this.text.slice(offset);
		return this.isFinished || !/[\uD800-\uDBFF]$/v.test(text)
			? text
			: text.slice(0, -1);
	}

	/** Waits until the callback added to the set is called, the signal aborts, or the timeout passes. */
	async #wait(
		waiters: Set<() => void>,
		signal: AbortSignal,
		timeoutMs?: number,
	): Promise<void> {
		await new Promise<void>((resolve) => {
			const finish = () => {
				clearTimeout(timer);
				waiters.delete(finish);
				signal.removeEventListener('abort', finish);
				resolve();
			};

			const timer =
				timeoutMs === undefined ? undefined : setTimeout(finish, timeoutMs);
			waiters.add(finish);
			signal.addEventListener('abort', finish);
		});
	}

	#notifyReaders(): void {
		for (const notify of this.#waiters) {
			notify();
		}
	}
}
