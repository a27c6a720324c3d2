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
	readonly #readers = new Set<() => void>();

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
		}
	}

	/** Streams the text from an offset, then the end. Text that waits is joined into one chunk. */
	async *read(
		fromOffset: number,
		signal: AbortSignal,
	): AsyncGenerator<DispatchEvent> {
		let offset = Math.min(fromOffset, this.text.length);
		while (!signal.aborted) {
			if (offset < this.text.length) {
				const text = this.text.slice(offset);
				yield {type: 'chunk', offset, text};
				offset += text.length;
			} else if (this.#final) {
				yield this.#final;
				return;
			} else {
				await this.#changed(signal);
			}
		}
	}

	async #changed(signal: AbortSignal): Promise<void> {
		await new Promise<void>((resolve) => {
			const finish = () => {
				this.#readers.delete(finish);
				signal.removeEventListener('abort', finish);
				resolve();
			};

			this.#readers.add(finish);
			signal.addEventListener('abort', finish);
		});
	}

	#wake(): void {
		for (const reader of this.#readers) {
			reader();
		}
	}
}
