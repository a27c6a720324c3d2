import {SoakFailureError} from '../scenario.ts';
import type {VirtualTime} from '@marjoramcove/consensus';

const MAX_EVENTS = 400;

/** Keeps the last events of a round and counts events by name. */
export class EventLog {
	readonly counts: Record<string, number> = {};
	/** The first failure of a check. */
	failure: SoakFailureError | undefined;
	readonly #time: VirtualTime;
	#events: string[] = [];

	constructor(time: VirtualTime) {
		this.#time = time;
	}

	count(name: string, increment = 1): void {
		this.counts[name] = (this.counts[name] ?? 0) + increment;
	}

	/** Counts an event and adds it to the log. */
	record(name: string, detail = ''): void {
		this.count(name);
		this.#events.push(`${this.#time.nowMs().toFixed(1)} ms: ${name} ${detail}`);
		if (this.#events.length > MAX_EVENTS) {
			this.#events = this.#events.slice(-MAX_EVENTS);
		}
	}

	/** Records a failed check. Only the first one is kept; it ends the round. */
	fail(message: string, cause?: unknown): void {
		this.failure ??= new SoakFailureError(
			`${message} (at ${this.#time.nowMs().toFixed(1)} ms of virtual time)`,
			this.#events,
			cause,
		);
	}

	/** Throws the recorded failure, if any. */
	throwFailure(): void {
		if (this.failure) {
			throw this.failure;
		}
	}
}
