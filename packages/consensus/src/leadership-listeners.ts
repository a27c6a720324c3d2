import type {GroupId} from '@marjoramcove/types';
import type {Clock} from './clock.ts';
import type {Leadership} from './replica-options.ts';

/** Called with the new leadership of a group after it changed. */
export type LeadershipListener = (
	groupId: GroupId,
	leadership: Leadership,
) => void;

/** Notifies listeners of leadership changes. */
export class LeadershipListeners {
	readonly #clock: Clock;
	readonly #describe: (groupId: GroupId) => Leadership | undefined;
	readonly #listeners = new Set<LeadershipListener>();

	/**
	 * @param describe - returns the current leadership, or `undefined` when the host has stopped.
	 */
	constructor(
		clock: Clock,
		describe: (groupId: GroupId) => Leadership | undefined,
	) {
		this.#clock = clock;
		this.#describe = describe;
	}

	add(listener: LeadershipListener): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	notify(groupId: GroupId): void {
		// Deferred, because a listener may call the host, which must not happen during a step.
		this.#clock.defer(() => {
			const leadership = this.#describe(groupId);
			if (leadership) {
				for (const listener of this.#listeners) {
					listener(groupId, leadership);
				}
			}
		});
	}
}
