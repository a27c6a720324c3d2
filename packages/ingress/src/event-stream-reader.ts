import {createParser} from 'eventsource-parser';
import type {ResponseBuffer} from './response-buffer.ts';

/** Maximum number of bytes between the ends of two events. */
export const MAX_EVENT_BYTES = 1024 * 1024;

export type EventStreamReaderOptions = {
	/** Collects the data of the events; absent if it is not needed. */
	buffer?: ResponseBuffer;
	maxEventBytes?: number;
};

/**
 * Parses a stream of server-sent events while it is forwarded. Counts the events and, given a buffer,
 * collects their data, each followed by a line feed.
 *
 * @example
 * ```ts
 * const reader = new EventStreamReader({buffer: new ResponseBuffer(memory)});
 * reader.push(Buffer.from('id: 1\ndata: hello\n\n')); // true
 * reader.eventCount; // 1
 * reader.text(); // the bytes of "hello\n"
 * reader.discard();
 * ```
 */
export class EventStreamReader {
	eventCount = 0;
	lastEventId: string | undefined;
	readonly #buffer: ResponseBuffer | undefined;
	readonly #maxEventBytes: number;
	/** Data of the events that ended within the current chunk. */
	#chunkText = '';
	/** Bytes received since the last event ended. */
	#unfinishedBytes = 0;
	#isOverLimit = false;
	// Latin-1 maps each byte to one character, so that the bytes are preserved.
	readonly #parser = createParser({
		onEvent: ({id, data}) => {
			this.eventCount++;
			this.lastEventId = id ?? this.lastEventId;
			this.#unfinishedBytes = 0;
			if (this.#buffer) {
				this.#chunkText += `${data}\n`;
			}
		},
	});

	constructor({
		buffer,
		maxEventBytes = MAX_EVENT_BYTES,
	}: EventStreamReaderOptions = {}) {
		this.#buffer = buffer;
		this.#maxEventBytes = maxEventBytes;
	}

	/**
	 * Parses the next bytes of the stream.
	 *
	 * @returns `false` once an event or the collected data exceeds its limit; the stream is then not parsed further.
	 */
	push(chunk: Uint8Array): boolean {
		if (this.#isOverLimit) {
			return false;
		}

		this.#unfinishedBytes += chunk.length;
		this.#parser.feed(Buffer.from(chunk).toString('latin1'));
		const text = Buffer.from(this.#chunkText, 'latin1');
		this.#chunkText = '';
		const isTextKept = this.#buffer?.push(text) ?? true;
		this.#isOverLimit =
			!isTextKept || this.#unfinishedBytes > this.#maxEventBytes;
		return !this.#isOverLimit;
	}

	/** Returns the data of all events so far; empty if it is not collected. */
	text(): Buffer {
		return this.#buffer?.read() ?? Buffer.alloc(0);
	}

	/** Frees the collected data. */
	discard(): void {
		this.#buffer?.discard();
	}
}
