const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;

/**
 * Tracks whether a stream of server-sent events is between two events. Comments belong to no event.
 *
 * @example
 * ```ts
 * const boundary = new EventBoundary();
 * boundary.push(Buffer.from('id: 1\n'));
 * boundary.isInsideEvent; // true
 * boundary.push(Buffer.from('data: x\n\n'));
 * boundary.isInsideEvent; // false
 * boundary.hasEvents; // true
 * ```
 */
export class EventBoundary {
	/** Whether a field was read since the last blank line. */
	#hasField = false;
	#hasEvents = false;
	#isLineEmpty = true;
	#isComment = false;
	#endedWithCarriageReturn = false;

	/** Whether an event has begun and its blank line has not been read. */
	get isInsideEvent(): boolean {
		return this.#hasField || (!this.#isLineEmpty && !this.#isComment);
	}

	/** Whether an event has ended. */
	get hasEvents(): boolean {
		return this.#hasEvents;
	}

	/** Reads the next bytes of the stream. */
	push(chunk: Uint8Array): void {
		for (const byte of chunk) {
			if (byte === LINE_FEED && this.#endedWithCarriageReturn) {
				// The second byte of a line end.
				this.#endedWithCarriageReturn = false;
				continue;
			}

			this.#endedWithCarriageReturn = byte === CARRIAGE_RETURN;
			if (byte === LINE_FEED || byte === CARRIAGE_RETURN) {
				this.#endLine();
			} else if (this.#isLineEmpty) {
				this.#isLineEmpty = false;
				this.#isComment = byte === COLON;
			}
		}
	}

	#endLine(): void {
		if (this.#isLineEmpty) {
			this.#hasEvents ||= this.#hasField;
			this.#hasField = false;
		} else if (!this.#isComment) {
			this.#hasField = true;
		}

		this.#isLineEmpty = true;
	}
}
