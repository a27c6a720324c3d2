import type {ReplicaChange, ReplicaStatus} from '@marjoramcove/consensus';
import type {DaemonId, DiskId} from '@marjoramcove/types';

/** A disk whose daemon is live. */
export type GroupDisk = {
	daemonId: DaemonId;
	diskId: DiskId;
	zone: string;
	/** Its process is stopping. */
	isStopping: boolean;
};

/** What the leader of a group knows of its replicas and of the disks of the deployment. */
export type ReplicaPlanInput = {
	/** Voters and learners, as {@link ReplicaStatus} describes them at the leader. */
	replicas: readonly ReplicaStatus[];
	disks: readonly GroupDisk[];
	/** Disks that are being emptied. */
	retiringDisks: ReadonlySet<DiskId>;
	/** Durable copies that the group should have. */
	factor: number;
};

/** A change and why it is made. */
export type ReplicaPlan = {
	change: ReplicaChange;
	reason:
		| 'disk-lost'
		| 'disk-retiring'
		| 'learner-gone'
		| 'replica-gone'
		| 'too-few-copies';
};

/** Free disks, those of the wanted zone first, then those of zones with few copies. */
const rankFreeDisks = (
	{replicas, disks, retiringDisks}: ReplicaPlanInput,
	wantedZone: string | undefined,
): GroupDisk[] => {
	const usedDaemons = new Set(replicas.map(({daemonId}) => daemonId));
	const copiesByZone = new Map<string, number>();
	for (const {daemonId, zone} of disks) {
		if (usedDaemons.has(daemonId)) {
			copiesByZone.set(zone, (copiesByZone.get(zone) ?? 0) + 1);
		}
	}

	const cost = ({zone}: GroupDisk) =>
		zone === wantedZone ? -1 : (copiesByZone.get(zone) ?? 0);
	return disks
		.filter(
			({daemonId, diskId, isStopping}) =>
				!usedDaemons.has(daemonId) && !isStopping && !retiringDisks.has(diskId),
		)
		.toSorted(
			(a, b) => cost(a) - cost(b) || (a.daemonId < b.daemonId ? -1 : 1),
		);
};

/** A daemon came back without its disk; it gets its place again as a new copy. */
const planLostDisk = (
	replicas: readonly ReplicaStatus[],
	disks: ReplicaPlanInput['disks'],
): ReplicaPlan | undefined => {
	for (const {daemonId, diskId} of replicas) {
		const disk = disks.find((candidate) => candidate.daemonId === daemonId);
		if (disk && disk.diskId !== diskId) {
			return {
				change: {
					type: 'replace',
					lostDaemonId: daemonId,
					newDaemonId: daemonId,
					newDiskId: disk.diskId,
				},
				reason: 'disk-lost',
			};
		}
	}

	return undefined;
};

/** When it lost its disk before its promotion, the consensus layer removes the old one first. */
const planLearner = (
	learner: ReplicaStatus,
	{disks}: ReplicaPlanInput,
): ReplicaPlan | undefined => {
	const {daemonId, isLive} = learner;
	const isListed = disks.some((disk) => disk.daemonId === daemonId);
	return isListed || isLive !== false
		? planLostDisk([learner], disks)
		: {change: {type: 'remove', daemonId}, reason: 'learner-gone'};
};

const findReasonToMove = (
	{diskId, daemonId, isLive}: ReplicaStatus,
	{disks, retiringDisks}: ReplicaPlanInput,
): 'disk-retiring' | 'replica-gone' | undefined => {
	if (retiringDisks.has(diskId)) {
		return 'disk-retiring';
	}

	const disk = disks.find((candidate) => candidate.daemonId === daemonId);
	const isGone = !disk && isLive === false;
	return isGone || disk?.isStopping ? 'replica-gone' : undefined;
};

const planMove = (input: ReplicaPlanInput): ReplicaPlan | undefined => {
	for (const replica of input.replicas) {
		const reason = findReasonToMove(replica, input);
		const zone = input.disks.find(
			({daemonId}) => daemonId === replica.daemonId,
		)?.zone;
		const [free] = reason ? rankFreeDisks(input, zone) : [];
		if (reason && free) {
			return {
				change: {
					type: 'replace',
					lostDaemonId: replica.daemonId,
					newDaemonId: free.daemonId,
					newDiskId: free.diskId,
				},
				reason,
			};
		}
	}

	return undefined;
};

/**
 * Decides on the next change of a group's replicas. There is at most one change under way: while a
 * learner is catching up, only its own loss is acted on.
 *
 * @returns `undefined` when nothing needs to change, or no free disk could take a place.
 * @example
 * ```ts
 * const plan = planReplicas({replicas, disks, retiringDisks: new Set(), factor: 3});
 * ```
 */
export const planReplicas = (
	input: ReplicaPlanInput,
): ReplicaPlan | undefined => {
	const learner = input.replicas.find(({role}) => role === 'learner');
	if (learner) {
		return planLearner(learner, input);
	}

	const plan = planLostDisk(input.replicas, input.disks) ?? planMove(input);
	if (plan ?? input.replicas.length >= input.factor) {
		return plan;
	}

	const [free] = rankFreeDisks(input, undefined);
	return (
		free && {
			change: {type: 'add', daemonId: free.daemonId, diskId: free.diskId},
			reason: 'too-few-copies',
		}
	);
};
