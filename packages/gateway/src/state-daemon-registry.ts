import type {ShardMap} from '@marjoramcove/control-state';
import {RefusedError} from '@marjoramcove/errors';
import type {FleetMember, GroupLeadership} from '@marjoramcove/fleet';
import type {DiskId} from '@marjoramcove/types';

/** Inputs for deciding on a request to empty a disk. */
export type DiskRetirementInput = {
	memberName: string;
	retiringDisks: readonly DiskId[];
	/** Number of replicas of each shard. */
	factor: number;
	/**
	 * Whether every live daemon has had time to report since this leader was elected. Until then, a
	 * missing daemon or too few disks do not justify a final refusal.
	 */
	hasFullMembership: boolean;
};

const createNotReportedError = (message: string): RefusedError =>
	new RefusedError(message, {
		reason: 'members-not-reported',
		hint: 'Retry the request on any control daemon.',
	});

/**
 * Names and disks of all `state` daemons that have ever reported; decides on requests to empty their disks.
 *
 * @example
 * ```ts
 * const registry = new StateDaemonRegistry();
 * registry.update(members);
 * const diskId = registry.planRetirement({memberName: 'store-1', retiringDisks: [], factor: 3, hasFullMembership: true});
 * ```
 */
export class StateDaemonRegistry {
	readonly #daemons = new Map<string, FleetMember>();

	update(members: readonly FleetMember[]): void {
		for (const member of members) {
			this.#daemons.set(member.name, member);
		}
	}

	/**
	 * Decides on a request to empty the disk of a daemon.
	 *
	 * @returns the disk to empty; `undefined` if it is already being emptied.
	 * @throws RefusedError `member-unknown` or `too-few-disks`, which are final, or `members-not-reported`
	 * if the request should be retried.
	 */
	planRetirement({
		memberName,
		retiringDisks,
		factor,
		hasFullMembership,
	}: DiskRetirementInput): DiskId | undefined {
		const {diskId} = this.#find(memberName, hasFullMembership);
		if (diskId === undefined) {
			// A starting daemon sends reports before it has opened its disk.
			throw createNotReportedError(
				`${memberName} has not reported its disk yet.`,
			);
		}

		if (retiringDisks.includes(diskId)) {
			return undefined;
		}

		const remaining = [...this.#daemons.values()].filter(
			(daemon) =>
				daemon.diskId !== diskId &&
				(daemon.diskId === undefined || !retiringDisks.includes(daemon.diskId)),
		);
		if (remaining.length >= factor) {
			return diskId;
		}

		if (!hasFullMembership) {
			throw createNotReportedError('Not all disks have been reported yet.');
		}

		throw new RefusedError(
			`Only ${remaining.length} disks would remain, but each shard needs ${factor} replicas.`,
			{reason: 'too-few-disks', hint: 'Add a state daemon first.'},
		);
	}

	/**
	 * Whether a retiring disk is empty, that is, whether the latest leader of every shard has reported all
	 * replicas on other disks.
	 *
	 * @throws RefusedError like {@link planRetirement} if the daemon is unknown.
	 */
	isDiskEmpty(
		{
			memberName,
			factor,
			hasFullMembership,
		}: Pick<DiskRetirementInput, 'factor' | 'hasFullMembership' | 'memberName'>,
		{shards, retiringDisks}: ShardMap,
		ledGroups: readonly GroupLeadership[],
	): boolean {
		const {diskId} = this.#find(memberName, hasFullMembership);
		if (diskId === undefined || !retiringDisks.includes(diskId)) {
			return false;
		}

		return shards.every(({groupId}) => {
			const latest = ledGroups
				.filter((group) => group.groupId === groupId)
				.toSorted((a, b) => b.term - a.term)[0];
			return (
				latest !== undefined &&
				latest.voters.length >= factor &&
				!latest.voters.includes(diskId)
			);
		});
	}

	#find(memberName: string, hasFullMembership: boolean): FleetMember {
		const daemon = this.#daemons.get(memberName);
		if (daemon) {
			return daemon;
		}

		if (!hasFullMembership) {
			throw createNotReportedError(
				`${memberName} has not reported to this leader yet.`,
			);
		}

		throw new RefusedError(`No state daemon is named ${memberName}.`, {
			reason: 'member-unknown',
			hint: `Known names: ${[...this.#daemons.keys()].join(', ')}.`,
		});
	}
}
