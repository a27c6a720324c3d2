import type {AnswerReader, ResumePosition} from './answer-delivery.ts';

/** What a caller has of an answer, over several connections. */
export class ModelCaller implements AnswerReader {
	text = '';
	resume: ResumePosition | undefined;
	readonly #ignoresRestart: boolean;
	#connection = new AbortController();
	#remainingTexts = 0;

	constructor(ignoresRestart: boolean) {
		this.#ignoresRestart = ignoresRestart;
	}

	/** Opens a connection that breaks after a number of texts. */
	connect(texts: number, beginsAgain: boolean): AbortController {
		this.#connection = new AbortController();
		this.#remainingTexts = texts;
		if (beginsAgain) {
			this.text = '';
			this.resume = undefined;
		}

		return this.#connection;
	}

	onText(fresh: string, position: ResumePosition): void {
		// Bytes that were sent on a connection that has ended do not arrive.
		if (this.#connection.signal.aborted) {
			return;
		}

		this.text += fresh;
		this.resume = position;
		this.#remainingTexts--;
		if (this.#remainingTexts <= 0) {
			this.#connection.abort();
		}
	}

	onRestart(): void {
		if (!this.#ignoresRestart && !this.#connection.signal.aborted) {
			this.text = '';
			this.resume = undefined;
		}
	}
}
