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

/** One attempt at its dispatcher: its text so far, its state and its readers. */
export class CallRun {
	readonly grant: Grant;
	readonly payload: CallPayload;
	/** Monotonic time after which the call must not be sent any more. */
	readonly deadlineMs: number;
	readonly receivedMs = performance.now();
	/** Cancels the request to the upstream. */
	readonly abort = new AbortController();
	status: AttemptStatus = 'queued';
	text: string;
	finishedMs = Number.POSITIVE_INFINITY;
	/** Time that the upstream took; undefined until it has answered. */
	upstreamMs: number | undefined;
	#final: DispatchEvent | undefined;
	/** Wake the readers that wait for text or the end, and those that wait for the end only. */
	readonly #readers = new Set<() => void>();
	readonly #endReaders = new Set<() => void>();

	constructor({grant, payload}: {grant: Grant; payload: CallPayload}) {
		this.grant = grant;
		this.payload = payload;
		this.text = payload.prefix;
		this.deadlineMs = this.receivedMs + grant.timeoutMs;
	}

	get isFinished(): boolean {
		return this.#final !== undefined;
	}

	/** Appends generated text and wakes the readers. */
	append(text: string): void {
		if (!this.#final) {
			this.text += text;
			this.#wake();
		}
	}

	/** Ends the run; later ends have no effect. */
	finish(status: AttemptStatus, event: DispatchEvent): void {
		if (!this.#final) {
			this.status = status;
			this.#final = event;
			this.finishedMs = performance.now();
			this.#wake();
			for (const reader of this.#endReaders) {
				reader();
			}
		}
	}

	/**
	 * Streams the text from an offset, then the end. Text that waits is joined into one chunk, and a
	 * chunk follows the one before it after `coalesceMs` at the earliest; the end is not delayed.
	 */
	async *read(
		fromOffset: number,
		signal: AbortSignal,
		coalesceMs = 0,
	): AsyncGenerator<DispatchEvent> {
		let offset = Math.min(fromOffset, this.text.length);
		while (!signal.aborted) {
			const text = this.#readableFrom(offset);
			if (text !== '') {
				yield {type: 'chunk', offset, text};
				offset += text.length;
				if (coalesceMs > 0 && !this.isFinished && !signal.aborted) {
					await this.#wait(this.#endReaders, signal, coalesceMs);
				}
			} else if (this.#final) {
				yield this.#final;
				return;
			} else {
				await this.#wait(this.#readers, signal);
			}
		}
	}

	/** Text from an offset; half a surrogate pair waits, because UTF-8 on the link has no half. */
	#readableFrom(offset: number): string {
		const text = this.text.slice(offset);
		return this.isFinished || !/[\uD800-\uDBFF]$/v.test(text)
			? text
			: text.slice(0, -1);
	}

	/** Waits until a wake-up of the set, an abort, or the end of a time. */
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

	#wake(): void {
		for (const reader of this.#readers) {
			reader();
		}
	}
}
