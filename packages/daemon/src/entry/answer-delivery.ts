import {InvariantViolationError} from '@marjoramcove/errors';

/** Callbacks for an answer that is received incrementally. */
export type AnswerObserver = {
	/** The call was granted; from here on, an error no longer means that the call was refused. */
	onGranted?: () => void;
	onText: (text: string, position: {attempt: number; offset: number}) => void;
	/** The text delivered so far is not part of the answer and must be discarded. */
	onRestart: () => void;
};

/** Position from which a caller resumes an answer. */
export type ResumePosition = {attempt: number; offset: number};

/** Tracks the text of an answer that a caller has received, across all attempts of the call. */
export class AnswerDelivery {
	#text = '';
	readonly #observer: AnswerObserver;
	#resume: ResumePosition | undefined;
	#attempt = 0;
	#attemptText = '';
	/** Whether the caller has exactly the text of the current attempt, so that no comparison is needed. */
	#isAligned = false;

	constructor(observer: AnswerObserver, resume: ResumePosition | undefined) {
		this.#observer = observer;
		this.#resume = resume;
	}

	/** Text that the caller has received. */
	get text(): string {
		return this.#text;
	}

	/** Starts or continues reading an attempt and returns the offset from which its text is needed. */
	beginAttempt(attempt: number): number {
		if (this.#resume && this.#resume.attempt !== attempt) {
			this.#restart();
		}

		if (this.#attempt !== attempt) {
			this.#attempt = attempt;
			this.#attemptText = '';
			this.#isAligned = false;
		}

		return this.#attemptText.length;
	}

	/**
	 * Receives text at an offset of the current attempt and skips the part that was received before.
	 *
	 * @returns False when text before the offset is missing; the attempt must be read again.
	 */
	receiveChunk(offset: number, text: string): boolean {
		const receivedLength = this.#attemptText.length;
		if (offset > receivedLength) {
			return false;
		}

		const newText = text.slice(receivedLength - offset);
		if (newText === '') {
			return true;
		}

		this.#attemptText += newText;
		if (this.#isAligned) {
			this.#append(newText);
		} else {
			this.#deliver(this.#attemptText);
		}

		return true;
	}

	/**
	 * Receives the whole recorded answer. The caller then has exactly this text.
	 *
	 * @throws InvariantViolationError when the caller would have a different text.
	 */
	finish(attempt: number, content: string): void {
		this.beginAttempt(attempt);
		const deliveredLength = this.#resume?.offset ?? this.#text.length;
		if (deliveredLength > content.length) {
			this.#restart();
		}

		this.#attemptText = content;
		this.#deliver(content);
		if (this.#text !== content) {
			throw new InvariantViolationError('I4', {
				event: 'answer-finished',
				attempt,
				deliveredLength: this.#text.length,
				contentLength: content.length,
			});
		}
	}

	#deliver(fullText: string): void {
		if (this.#resume) {
			if (fullText.length < this.#resume.offset) {
				return;
			}

			this.#text = fullText.slice(0, this.#resume.offset);
			this.#resume = undefined;
		}

		if (!this.#text.startsWith(fullText)) {
			if (!fullText.startsWith(this.#text)) {
				this.#restart();
			}

			this.#append(fullText.slice(this.#text.length));
		}

		this.#isAligned = this.#text.length === fullText.length;
	}

	#append(newText: string): void {
		this.#text += newText;
		this.#observer.onText(newText, {
			attempt: this.#attempt,
			offset: this.#text.length,
		});
	}

	#restart(): void {
		this.#observer.onRestart();
		this.#resume = undefined;
		this.#text = '';
	}
}
