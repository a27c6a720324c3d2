import {SoakFailureError} from '../scenario.ts';
import type {VirtualTime} from '@marjoramcove/consensus';

const KEPT_EVENTS = 400;

/** The last events of a round, and counts of what happened. */
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

	/** Counts a fault and keeps a line about it. */
	note(name: string, detail = ''): void {
		this.count(name);
		this.#events.push(`${this.#time.nowMs().toFixed(1)} ms: ${name} ${detail}`);
		if (this.#events.length > KEPT_EVENTS) {
			this.#events = this.#events.slice(-KEPT_EVENTS);
		}
	}

	/** Records the first failed check; the round ends with it. */
	fail(message: string, cause?: unknown): void {
		this.failure ??= new SoakFailureError(
			`${message} (at ${this.#time.nowMs().toFixed(1)} ms of virtual time)`,
			this.#events,
			cause,
		);
	}

	throwFailure(): void {
		if (this.failure) {
			throw this.failure;
		}
	}
}
