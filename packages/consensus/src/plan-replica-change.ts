import {RefusedError} from '@marjoramcove/errors';
import type {DaemonId, DiskId} from '@marjoramcove/types';
import {findReplica, isVoter, type MembershipChange} from './membership.ts';
import {currentMembership} from './raft-state.ts';
import type {RaftState} from './raft-types.ts';
import type {ReplicaChange} from './replica-options.ts';

const resolveDisk = (
	daemonId: DaemonId,
	diskId: DiskId | undefined,
	announcedDisks: ReadonlyMap<DaemonId, DiskId>,
): DiskId => {
	const resolved = diskId ?? announcedDisks.get(daemonId);
	if (!resolved) {
		throw new RefusedError(`The disk of daemon ${daemonId} is not known.`, {
			reason: 'disk-unknown',
			hint: 'Start the daemon with an empty data folder and retry after a few seconds.',
		});
	}

	return resolved;
};

const planReplacement = (
	state: RaftState,
	change: Extract<ReplicaChange, {type: 'replace'}>,
	announcedDisks: ReadonlyMap<DaemonId, DiskId>,
): MembershipChange | undefined => {
	const membership = currentMembership(state);
	const diskId = resolveDisk(
		change.newDaemonId,
		change.newDiskId,
		announcedDisks,
	);
	// A learner whose disk was lost before its promotion can never catch up.
	const stale = membership.learners.find(
		(learner) =>
			learner.daemonId === change.newDaemonId && learner.diskId !== diskId,
	);
	if (stale) {
		return {type: 'remove', diskId: stale.diskId};
	}

	const lost = membership.voters.find(
		(voter) =>
			voter.daemonId === change.lostDaemonId && voter.diskId !== diskId,
	);
	const known = findReplica(membership, diskId);
	if (known) {
		if (
			change.newDaemonId === change.lostDaemonId &&
			isVoter(membership, diskId) &&
			known.replaces === undefined
		) {
			// Only the lost disk may be known yet. Success would mislead the operator about a repair.
			throw new RefusedError(
				`Disk ${diskId} of daemon ${change.lostDaemonId} is already a voter.`,
				{
					reason: 'nothing-to-replace',
					hint: 'If the daemon restarted with an empty disk, retry when the new disk is listed.',
				},
			);
		}

		return undefined;
	}

	if (!lost) {
		throw new RefusedError(
			`Daemon ${change.lostDaemonId} has no voter in the group.`,
			{
				reason: 'replica-unknown',
				hint: `Voters: ${membership.voters.map((voter) => voter.daemonId).join(', ')}.`,
			},
		);
	}

	return {
		type: 'add-learner',
		replica: {daemonId: change.newDaemonId, diskId, replaces: lost.diskId},
	};
};

/**
 * Returns the next membership change for an operator's change, or `undefined` when none is left.
 *
 * @throws RefusedError when a replica or disk is unknown.
 */
export const planReplicaChange = (
	state: RaftState,
	change: ReplicaChange,
	announcedDisks: ReadonlyMap<DaemonId, DiskId>,
): MembershipChange | undefined => {
	const membership = currentMembership(state);
	if (change.type === 'replace') {
		return planReplacement(state, change, announcedDisks);
	}

	if (change.type === 'add') {
		const diskId = resolveDisk(change.daemonId, change.diskId, announcedDisks);
		return findReplica(membership, diskId)
			? undefined
			: {type: 'add-learner', replica: {daemonId: change.daemonId, diskId}};
	}

	const removed = [...membership.voters, ...membership.learners].find(
		(replica) => replica.daemonId === change.daemonId,
	);
	return removed && {type: 'remove', diskId: removed.diskId};
};
