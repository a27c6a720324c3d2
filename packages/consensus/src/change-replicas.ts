import {RefusedError} from '@marjoramcove/errors';
import type {DaemonId, DiskId} from '@marjoramcove/types';
import {type Clock, sleep} from './clock.ts';
import {planReplicaChange} from './plan-replica-change.ts';
import type {ReplicaGroup} from './replica-group.ts';
import type {ReplicaChange} from './replica-options.ts';

const RETRY_INTERVAL_MS = 100;

/**
 * Maximum attempts per refusal reason. A membership change in progress ends soon, and a new disk
 * announces itself with its next formation query. Other refusals are not retried.
 */
const MAX_ATTEMPTS: Readonly<Record<string, number>> = {
	'change-under-way': 100,
	'disk-unknown': 20,
};

const isRetryable = (error: unknown, attempt: number) =>
	error instanceof RefusedError && attempt < (MAX_ATTEMPTS[error.reason] ?? 0);

/**
 * Applies an operator's change as a sequence of single membership changes until it takes effect.
 *
 * @param findGroup - returns the group if this host leads it, and throws NotLeaderError otherwise.
 */
export const changeReplicas = async (
	findGroup: () => ReplicaGroup,
	change: ReplicaChange,
	announcedDisks: ReadonlyMap<DaemonId, DiskId>,
	clock: Clock,
): Promise<void> => {
	for (let attempt = 1; ; attempt++) {
		try {
			const group = findGroup();
			const {state} = group;
			if (state.memberships.at(-1)!.index > state.commitIndex) {
				// The uncommitted change may still be rolled back, so nothing can be planned on top of it.
				throw new RefusedError(
					`Group ${state.groupId} has a membership change in progress.`,
					{
						reason: 'change-under-way',
						hint: 'Retry after a while.',
					},
				);
			}

			const membershipChange = planReplicaChange(state, change, announcedDisks);
			if (!membershipChange) {
				return;
			}

			await group.pendingRequests.changeMembership(membershipChange);
		} catch (error) {
			if (!isRetryable(error, attempt)) {
				throw error;
			}

			await sleep(clock, RETRY_INTERVAL_MS);
		}
	}
};
