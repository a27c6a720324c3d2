import {RefusedError} from '@marjoramcove/errors';
import type {DaemonId, DiskId} from '@marjoramcove/types';
import {findReplica, isVoter, type MembershipChange} from './membership.ts';
import {currentMembership} from './raft-state.ts';
import type {RaftState} from './raft-types.ts';
import type {ReplicaChange} from './replica-options.ts';

const chooseDisk = (
	daemonId: DaemonId,
	diskId: DiskId | undefined,
	announced: ReadonlyMap<DaemonId, DiskId>,
): DiskId => {
	const chosen = diskId ?? announced.get(daemonId);
	if (!chosen) {
		throw new RefusedError(`The disk of daemon ${daemonId} is not known.`, {
			reason: 'disk-unknown',
			hint: 'Start the daemon with an empty data folder and retry after a few seconds.',
		});
	}

	return chosen;
};

const planReplacement = (
	state: RaftState,
	change: Extract<ReplicaChange, {type: 'replace'}>,
	announced: ReadonlyMap<DaemonId, DiskId>,
): MembershipChange | undefined => {
	const membership = currentMembership(state);
	const diskId = chooseDisk(change.newDaemonId, change.newDiskId, announced);
	// A learner whose disk was lost before its promotion never catches up.
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
			// The group may still know only the lost disk; success would mislead the operator.
			throw new RefusedError(
				`The known disk ${diskId} of daemon ${change.lostDaemonId} is a voter.`,
				{
					reason: 'nothing-to-replace',
					hint: 'If the daemon came back with an empty disk, send the order again when the disk is listed.',
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
 * Turns an operator's change into a change of the membership, or `undefined` when it is in force.
 *
 * @throws RefusedError when a named replica or disk is not known.
 */
export const planReplicaChange = (
	state: RaftState,
	change: ReplicaChange,
	announced: ReadonlyMap<DaemonId, DiskId>,
): MembershipChange | undefined => {
	const membership = currentMembership(state);
	if (change.type === 'replace') {
		return planReplacement(state, change, announced);
	}

	if (change.type === 'add') {
		const diskId = chooseDisk(change.daemonId, change.diskId, announced);
		return findReplica(membership, diskId)
			? undefined
			: {type: 'add-learner', replica: {daemonId: change.daemonId, diskId}};
	}

	const removed = [...membership.voters, ...membership.learners].find(
		(replica) => replica.daemonId === change.daemonId,
	);
	return removed && {type: 'remove', diskId: removed.diskId};
};
