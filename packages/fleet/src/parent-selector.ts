import type {DaemonId} from '@marjoramcove/types';
import {chooseParent} from './choose-parent.ts';
import type {FleetMember, FleetRole} from './member.ts';

/** Time for which a control daemon that did not respond is skipped. */
const FAILED_BACKOFF_MS = 1500;

/** While no control daemon has a current confirmation, interval at which another one is asked again. */
const STALE_RETRY_INTERVAL_MS = 600;

export type ParentSelectorOptions = {
	selfId: DaemonId;
	zone: string;
	role: FleetRole;
	/** Age from which a confirmation is outdated: its control daemon is cut off from the leader. */
	maxConfirmedAgeMs: number;
	/** Returns a uniformly distributed number in [0, 1). */
	random?: () => number;
};

/** The control daemons that this daemon knows. */
export type KnownControlDaemons = {
	/** Control daemons listed in the settings. */
	seeds: readonly DaemonId[];
	/** The last known members. */
	members: readonly FleetMember[];
	/** Leader of the configuration group, if known. */
	leaderId: DaemonId | undefined;
};

/** How a response changed the choice of the parent. */
export type ParentChange = 'found' | 'stale' | 'unchanged';

/**
 * Selects the control daemon that a daemon reports to. A parent that does not respond, or that has no
 * current confirmation from the leader, is replaced; each control daemon that is known is asked before
 * one that had no current confirmation is asked again.
 *
 * @example
 * ```ts
 * const selector = new ParentSelector({selfId, zone, role: 'entry', maxConfirmedAgeMs: 2000});
 * const parentId = selector.choose({seeds, members, leaderId}, performance.now());
 * selector.recordResponse(parentId, confirmedAgeMs, performance.now());
 * ```
 */
export class ParentSelector {
	readonly #options: Required<ParentSelectorOptions>;
	readonly #failedUntilMs = new Map<DaemonId, number>();
	/** Times of the last responses without a current confirmation, since there was one. */
	readonly #staleAtMs = new Map<DaemonId, number>();
	#parentId: DaemonId | undefined;
	#staleRetryAtMs = 0;

	constructor({random = Math.random, ...options}: ParentSelectorOptions) {
		this.#options = {random, ...options};
	}

	/** The control daemon that responded last and may have a current confirmation, if any. */
	get parentId(): DaemonId | undefined {
		return this.#parentId;
	}

	/** @returns `undefined` if no other control daemon is known. */
	choose(known: KnownControlDaemons, nowMs: number): DaemonId | undefined {
		const {selfId, zone, role, random} = this.#options;
		const current = this.#parentId;
		const isCurrentUsable =
			current !== undefined &&
			(role !== 'control' || current === known.leaderId) &&
			!this.#isFailed(current, nowMs);
		if (isCurrentUsable && !this.#staleAtMs.has(current)) {
			return current;
		}

		const candidate = chooseParent({
			...known,
			selfId,
			zone,
			role,
			nowMs,
			random,
			failedUntilMs: this.#failedUntilMs,
			staleAtMs: this.#staleAtMs,
		});
		if (candidate === undefined || !isCurrentUsable) {
			return candidate;
		}

		if (this.#isFailed(candidate, nowMs)) {
			return current;
		}

		if (this.#staleAtMs.has(candidate)) {
			if (nowMs < this.#staleRetryAtMs) {
				return current;
			}

			this.#staleRetryAtMs = nowMs + STALE_RETRY_INTERVAL_MS;
		}

		return candidate;
	}

	/**
	 * Records the response of a control daemon.
	 *
	 * @param confirmedAgeMs - age of its last confirmation from the leader, if it has one.
	 */
	recordResponse(
		id: DaemonId,
		confirmedAgeMs: number | undefined,
		nowMs: number,
	): ParentChange {
		const isStale =
			(confirmedAgeMs ?? Infinity) > this.#options.maxConfirmedAgeMs;
		const isNewlyStale = isStale && !this.#staleAtMs.has(id);
		if (isStale) {
			this.#staleAtMs.set(id, nowMs);
		} else {
			this.#staleAtMs.clear();
		}

		if (isStale && this.#parentId !== undefined) {
			return isNewlyStale ? 'stale' : 'unchanged';
		}

		const isNew = this.#parentId !== id;
		this.#parentId = id;
		return isNew ? 'found' : 'unchanged';
	}

	/**
	 * Records that a control daemon did not respond.
	 *
	 * @returns whether it was the parent.
	 */
	recordFailure(id: DaemonId, nowMs: number): boolean {
		this.#failedUntilMs.set(id, nowMs + FAILED_BACKOFF_MS);
		if (this.#parentId !== id) {
			return false;
		}

		this.#parentId = undefined;
		return true;
	}

	#isFailed(id: DaemonId, nowMs: number): boolean {
		return (this.#failedUntilMs.get(id) ?? 0) > nowMs;
	}
}
