import type {AnswerObserver, ResumePosition} from './answer-delivery.ts';

/** Caller of the simulation, with the text of the answer that it has received over several connections. */
export class SimulatedCaller implements AnswerObserver {
	text = '';
	resume: ResumePosition | undefined;
	readonly #ignoresRestart: boolean;
	#connection = new AbortController();
	#remainingTexts = 0;

	constructor(ignoresRestart: boolean) {
		this.#ignoresRestart = ignoresRestart;
	}

	/** Opens a connection that is lost after a number of texts. */
	connect(textsUntilLoss: number, startsOver: boolean): AbortController {
		this.#connection = new AbortController();
		this.#remainingTexts = textsUntilLoss;
		if (startsOver) {
			this.text = '';
			this.resume = undefined;
		}

		return this.#connection;
	}

	onText(newText: string, position: ResumePosition): void {
		// Text that is sent on a closed connection does not arrive.
		if (this.#connection.signal.aborted) {
			return;
		}

		this.text += newText;
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
