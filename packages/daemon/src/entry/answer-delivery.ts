import {InvariantViolationError} from '@marjoramcove/errors';

/** Receives the answer while it arrives. */
export type AnswerReader = {
	/** The call was granted; an error can no longer be a refusal. */
	onGranted?: () => void;
	onText: (text: string, position: {attempt: number; offset: number}) => void;
	/** The text delivered so far is not part of the answer. */
	onRestart: () => void;
};

/** Position from which a caller continues an answer. */
export type ResumePosition = {attempt: number; offset: number};

/** Text that a caller has of one answer, over all attempts of the call. */
export class AnswerDelivery {
	#text = '';
	readonly #reader: AnswerReader;
	#resume: ResumePosition | undefined;
	#attempt = 0;
	#attemptText = '';
	/** Whether the caller has exactly the text of the attempt, so that nothing has to be compared. */
	#isAligned = false;

	constructor(reader: AnswerReader, resume: ResumePosition | undefined) {
		this.#reader = reader;
		this.#resume = resume;
	}

	/** Text that the caller has. */
	get text(): string {
		return this.#text;
	}

	/** Begins or continues an attempt and returns the offset from which its text is needed. */
	begin(attempt: number): number {
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
	 * Takes text at an offset of the current attempt. Text that is known already is skipped.
	 *
	 * @returns False when text is missing before the offset; the attempt must be read again.
	 */
	take(offset: number, text: string): boolean {
		const known = this.#attemptText.length;
		if (offset > known) {
			return false;
		}

		const fresh = text.slice(known - offset);
		if (fresh === '') {
			return true;
		}

		this.#attemptText += fresh;
		if (this.#isAligned) {
			this.#append(fresh);
		} else {
			this.#deliver(this.#attemptText);
		}

		return true;
	}

	/**
	 * Takes the whole recorded answer. The caller then has this text and nothing else.
	 *
	 * @throws InvariantViolationError when the caller would be left with another text.
	 */
	finish(attempt: number, content: string): void {
		this.begin(attempt);
		const length = this.#resume?.offset ?? this.#text.length;
		if (length > content.length) {
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

	#deliver(full: string): void {
		if (this.#resume) {
			if (full.length < this.#resume.offset) {
				return;
			}

			this.#text = full.slice(0, this.#resume.offset);
			this.#resume = undefined;
		}

		if (!this.#text.startsWith(full)) {
			if (!full.startsWith(this.#text)) {
				this.#restart();
			}

			this.#append(full.slice(this.#text.length));
		}

		this.#isAligned = this.#text.length === full.length;
	}

	#append(fresh: string): void {
		this.#text += fresh;
		this.#reader.onText(fresh, {
			attempt: this.#attempt,
			offset: this.#text.length,
		});
	}

	#restart(): void {
		this.#reader.onRestart();
		this.#resume = undefined;
		this.#text = '';
	}
}
