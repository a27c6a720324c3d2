import type {ReplicaChange, ReplicaStatus} from '@marjoramcove/consensus';
import type {DaemonId, DiskId} from '@marjoramcove/types';

/** A disk whose daemon is live. */
export type LiveDisk = {
	daemonId: DaemonId;
	diskId: DiskId;
	zone: string;
	/** Whether the daemon that serves the disk is draining before it stops. */
	isStopping: boolean;
};

/** Replicas of a group, as its leader sees them, and the disks of the deployment. */
export type ReplicaPlanInput = {
	/** Voters and learners of the group. */
	replicas: readonly ReplicaStatus[];
	disks: readonly LiveDisk[];
	/** Disks that an operator retires; their replicas move to other disks. */
	retiringDisks: ReadonlySet<DiskId>;
	/** Number of durable replicas that the group should have. */
	factor: number;
};

/** A membership change and the reason for it. */
export type ReplicaPlan = {
	change: ReplicaChange;
	reason:
		| 'disk-lost'
		| 'disk-retiring'
		| 'learner-gone'
		| 'replica-gone'
		| 'too-few-copies';
};

/** Sorts the disks that can take a new replica: the preferred zone first, then zones with fewer replicas. */
const rankFreeDisks = (
	{replicas, disks, retiringDisks}: ReplicaPlanInput,
	preferredZone: string | undefined,
): LiveDisk[] => {
	const memberDaemons = new Set(replicas.map(({daemonId}) => daemonId));
	const replicasByZone = new Map<string, number>();
	for (const {daemonId, zone} of disks) {
		if (memberDaemons.has(daemonId)) {
			replicasByZone.set(zone, (replicasByZone.get(zone) ?? 0) + 1);
		}
	}

	const cost = ({zone}: LiveDisk) =>
		zone === preferredZone ? -1 : (replicasByZone.get(zone) ?? 0);
	return disks
		.filter(
			({daemonId, diskId, isStopping}) =>
				!memberDaemons.has(daemonId) &&
				!isStopping &&
				!retiringDisks.has(diskId),
		)
		.toSorted(
			(a, b) => cost(a) - cost(b) || (a.daemonId < b.daemonId ? -1 : 1),
		);
};

/**
 * Replaces a replica whose daemon returned with a new, empty disk. The same daemon stays in the group
 * with a new replica.
 */
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

/**
 * Replaces a learner that lost its disk before its promotion, or removes one whose daemon is
 * unreachable. For a replacement, the consensus layer removes the old learner first.
 */
const planLearner = (
	learner: ReplicaStatus,
	{disks}: ReplicaPlanInput,
): ReplicaPlan | undefined => {
	const {daemonId, isLive} = learner;
	const hasLiveDaemon = disks.some((disk) => disk.daemonId === daemonId);
	return hasLiveDaemon || isLive !== false
		? planLostDisk([learner], disks)
		: {change: {type: 'remove', daemonId}, reason: 'learner-gone'};
};

const findReplacementReason = (
	{diskId, daemonId, isLive}: ReplicaStatus,
	{disks, retiringDisks}: ReplicaPlanInput,
): 'disk-retiring' | 'replica-gone' | undefined => {
	if (retiringDisks.has(diskId)) {
		return 'disk-retiring';
	}

	const disk = disks.find((candidate) => candidate.daemonId === daemonId);
	const isUnreachable = !disk && isLive === false;
	return isUnreachable || disk?.isStopping ? 'replica-gone' : undefined;
};

const planReplacement = (input: ReplicaPlanInput): ReplicaPlan | undefined => {
	for (const replica of input.replicas) {
		const reason = findReplacementReason(replica, input);
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
 * Plans the next membership change of a group. Only one change is in progress at a time: while a
 * learner is catching up, the only change planned is the replacement or removal of that learner.
 *
 * @returns `undefined` when nothing needs to change, or no free disk is available.
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

	const plan =
		planLostDisk(input.replicas, input.disks) ?? planReplacement(input);
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
