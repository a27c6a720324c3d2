import {createParser} from 'eventsource-parser';

/**
 * Reads a stream of server-sent events beside its forwarding: how many events there were, and their
 * data, each followed by a line feed.
 *
 * @example
 * ```ts
 * const reader = new StreamReader();
 * reader.push(Buffer.from('id: 1\ndata: hello\n\n'));
 * reader.eventCount; // 1
 * reader.text(); // the bytes of "hello\n"
 * ```
 */
export class StreamReader {
	eventCount = 0;
	lastEventId: string | undefined;
	readonly #parts: string[] = [];
	// Bytes are kept as they are: latin1 maps each byte to one character.
	readonly #parser = createParser({
		onEvent: ({id, data}) => {
			this.eventCount++;
			this.lastEventId = id ?? this.lastEventId;
			this.#parts.push(data, '\n');
		},
	});

	push(chunk: Uint8Array): void {
		this.#parser.feed(Buffer.from(chunk).toString('latin1'));
	}

	/** Data of all events so far. */
	text(): Buffer {
		return Buffer.from(this.#parts.join(''), 'latin1');
	}
}
