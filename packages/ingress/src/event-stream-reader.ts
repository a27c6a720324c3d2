import {createParser} from 'eventsource-parser';

/**
 * Parses a stream of server-sent events while it is forwarded. Counts the events and collects their
 * data, each followed by a line feed.
 *
 * @example
 * ```ts
 * const reader = new EventStreamReader();
 * reader.push(Buffer.from('id: 1\ndata: hello\n\n'));
 * reader.eventCount; // 1
 * reader.text(); // the bytes of "hello\n"
 * ```
 */
export class EventStreamReader {
	eventCount = 0;
	lastEventId: string | undefined;
	readonly #data: string[] = [];
	// Latin-1 maps each byte to one character, so that the bytes are preserved.
	readonly #parser = createParser({
		onEvent: ({id, data}) => {
			this.eventCount++;
			this.lastEventId = id ?? this.lastEventId;
			this.#data.push(data, '\n');
		},
	});

	push(chunk: Uint8Array): void {
		this.#parser.feed(Buffer.from(chunk).toString('latin1'));
	}

	/** Returns the data of all events so far. */
	text(): Buffer {
		return Buffer.from(this.#data.join(''), 'latin1');
	}
}
