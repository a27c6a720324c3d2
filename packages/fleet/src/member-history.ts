import {type DaemonId, hashText} from '@marjoramcove/types';
import type {FleetMember} from './member.ts';
import {serializePublishedFields} from './membership-table.ts';
import {isNewer, type Stamp} from './stamp.ts';

/** A member list that a leader published, with the stamp of its version. */
export type MemberList = {stamp: Stamp; items: FleetMember[]};

/** Changes that turn the list with the stamp `base` into the one with `stamp`. */
export type MemberChanges = {
	base: Stamp;
	stamp: Stamp;
	/** Members that joined or changed. */
	changed: FleetMember[];
	removed: DaemonId[];
	/** Digest of the resulting list, which reveals that two daemons hold different lists under one stamp. */
	digest: number;
};

/** Changes between two successive lists. */
type Step = {
	base: Stamp;
	stamp: Stamp;
	changed: DaemonId[];
	removed: DaemonId[];
};

/** Number of successive lists whose changes are kept; a daemon that missed more gets the whole list. */
const MAX_STEPS = 64;

/** Share of the members above which the whole list is cheaper than its changes. */
const MAX_CHANGED_SHARE = 0.5;

const isSameStamp = (a: Stamp, b: Stamp): boolean =>
	a.term === b.term && a.sequence === b.sequence;

/**
 * Computes the digest of a member list; it does not depend on the order of the members.
 *
 * @example
 * ```ts
 * digestMembers(list.items) === changes.digest;
 * ```
 */
export const digestMembers = (members: readonly FleetMember[]): number => {
	let digest = members.length;
	for (const {daemonId, incarnation, phase, diskId, ledGroups} of members) {
		const led = ledGroups.map(({groupId, term}) => `${groupId}@${term}`);
		const text = `${daemonId} ${incarnation} ${phase} ${diskId ?? ''} ${led.join(',')}`;
		digest = (digest + hashText(text)) % 2 ** 32;
	}

	return digest;
};

/**
 * Applies changes to the list that they are based on.
 *
 * @returns `undefined` if the list is not that one, or if the result does not match the digest.
 * @example
 * ```ts
 * const next = applyMemberChanges(list, changes);
 * ```
 */
export const applyMemberChanges = (
	list: MemberList,
	changes: MemberChanges,
): MemberList | undefined => {
	if (!isSameStamp(list.stamp, changes.base)) {
		return undefined;
	}

	const members = new Map(
		list.items.map((member) => [member.daemonId, member]),
	);
	for (const daemonId of changes.removed) {
		members.delete(daemonId);
	}

	for (const member of changes.changed) {
		members.set(member.daemonId, member);
	}

	const items = [...members.values()];
	return digestMembers(items) === changes.digest
		? {stamp: changes.stamp, items}
		: undefined;
};

/**
 * Remembers how the member list changed lately, so that the daemons that sync with this one receive changes
 * instead of whole lists.
 *
 * @example
 * ```ts
 * const history = new MemberHistory();
 * history.record(before, after);
 * const changes = history.changesSince(before.stamp, after);
 * ```
 */
export class MemberHistory {
	#steps: Step[] = [];

	/** Records that the list `next` replaced `previous`. */
	record(previous: MemberList | undefined, next: MemberList): void {
		if (!previous) {
			return;
		}

		const before = new Map(
			previous.items.map((member) => [
				member.daemonId,
				serializePublishedFields(member),
			]),
		);
		const changed: DaemonId[] = [];
		for (const member of next.items) {
			if (before.get(member.daemonId) !== serializePublishedFields(member)) {
				changed.push(member.daemonId);
			}

			before.delete(member.daemonId);
		}

		const {stamp: base} = previous;
		this.#steps.push({
			base,
			stamp: next.stamp,
			changed,
			removed: [...before.keys()],
		});
		this.#steps = this.#steps.slice(-MAX_STEPS);
	}

	/**
	 * Returns the changes from the list with the stamp `since` to the current list.
	 *
	 * @returns `undefined` if they are not known, or not smaller than the list.
	 */
	changesSince(since: Stamp, current: MemberList): MemberChanges | undefined {
		const first = this.#steps.findIndex(({base}) => isSameStamp(base, since));
		if (first === -1 || !isNewer(current.stamp, since)) {
			return undefined;
		}

		const touched = new Set(
			this.#steps
				.slice(first)
				.flatMap(({changed, removed}) => [...changed, ...removed]),
		);
		if (touched.size > current.items.length * MAX_CHANGED_SHARE) {
			return undefined;
		}

		const changed = current.items.filter(({daemonId}) => touched.has(daemonId));
		const present = new Set(changed.map(({daemonId}) => daemonId));
		return {
			base: since,
			stamp: current.stamp,
			changed,
			removed: [...touched].filter((daemonId) => !present.has(daemonId)),
			digest: digestMembers(current.items),
		};
	}
}
