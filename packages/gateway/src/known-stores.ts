import type {ShardMap} from '@marjoramcove/control-state';
import {RefusedError} from '@marjoramcove/errors';
import type {FleetMember, LedGroup} from '@marjoramcove/fleet';
import type {DiskId} from '@marjoramcove/types';

/** What decides on an order to empty a disk. */
export type RetirementInput = {
	memberName: string;
	retiringDisks: readonly DiskId[];
	/** Copies of each shard. */
	factor: number;
	/**
	 * Whether every live daemon had the time to report since this leader was elected. Until then a
	 * daemon that is not known, or too few of them, tell nothing.
	 */
	isSettled: boolean;
};

const tryLater = (message: string): RefusedError =>
	new RefusedError(message, {
		reason: 'members-not-reported',
		hint: 'Send the order again, to any control daemon.',
	});

/**
 * Names and disks of the daemons with programs that were ever seen, for orders to empty their disks.
 *
 * @example
 * ```ts
 * const stores = new KnownStores();
 * stores.note(members);
 * const diskId = stores.planRetirement({memberName: 'store-1', retiringDisks: [], factor: 3, isSettled: true});
 * ```
 */
export class KnownStores {
	readonly #stores = new Map<string, FleetMember>();

	note(members: readonly FleetMember[]): void {
		for (const member of members) {
			this.#stores.set(member.name, member);
		}
	}

	/**
	 * Decides on an order to empty the disk of a daemon.
	 *
	 * @returns the disk, `undefined` when it is being emptied already.
	 * @throws RefusedError `member-unknown` or `too-few-disks`, which are final; `members-not-reported`
	 * when the order may be sent again.
	 */
	planRetirement({
		memberName,
		retiringDisks,
		factor,
		isSettled,
	}: RetirementInput): DiskId | undefined {
		const {diskId} = this.#find(memberName, isSettled);
		if (diskId === undefined) {
			// A daemon that starts reports before it has opened its disk.
			throw tryLater(`${memberName} has not reported its disk yet.`);
		}

		if (retiringDisks.includes(diskId)) {
			return undefined;
		}

		const left = [...this.#stores.values()].filter(
			(store) =>
				store.diskId !== diskId &&
				(store.diskId === undefined || !retiringDisks.includes(store.diskId)),
		);
		if (left.length >= factor) {
			return diskId;
		}

		if (!isSettled) {
			throw tryLater('Not all disks have been reported yet.');
		}

		throw new RefusedError(
			`Only ${left.length} disks would be left for ${factor} copies.`,
			{reason: 'too-few-disks', hint: 'Add a state daemon first.'},
		);
	}

	/**
	 * Whether a disk that was ordered to be emptied is: every shard must report, by its newest leader, all
	 * its copies on other disks.
	 *
	 * @throws RefusedError like {@link planRetirement} when the daemon is not known.
	 */
	isEmpty(
		{
			memberName,
			factor,
			isSettled,
		}: Pick<RetirementInput, 'factor' | 'isSettled' | 'memberName'>,
		{shards, retiringDisks}: ShardMap,
		ledGroups: readonly LedGroup[],
	): boolean {
		const {diskId} = this.#find(memberName, isSettled);
		if (diskId === undefined || !retiringDisks.includes(diskId)) {
			return false;
		}

		return shards.every(({groupId}) => {
			const newest = ledGroups
				.filter((group) => group.groupId === groupId)
				.toSorted((a, b) => b.term - a.term)[0];
			return (
				newest !== undefined &&
				newest.voters.length >= factor &&
				!newest.voters.includes(diskId)
			);
		});
	}

	#find(memberName: string, isSettled: boolean): FleetMember {
		const store = this.#stores.get(memberName);
		if (store) {
			return store;
		}

		if (!isSettled) {
			throw tryLater(`${memberName} has not reported to this leader yet.`);
		}

		throw new RefusedError(`No state daemon is named ${memberName}.`, {
			reason: 'member-unknown',
			hint: `Known names: ${[...this.#stores.keys()].join(', ')}.`,
		});
	}
}
