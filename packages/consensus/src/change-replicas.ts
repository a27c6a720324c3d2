import {RefusedError} from '@marjoramcove/errors';
import type {DaemonId, DiskId} from '@marjoramcove/types';
import {type Clock, waitOn} from './clock.ts';
import {planReplicaChange} from './plan-replica-change.ts';
import type {ReplicaGroup} from './replica-group.ts';
import type {ReplicaChange} from './replica-options.ts';

const RETRY_MS = 100;

/** Attempts by the reason of the refusal: another change ends soon, and a new disk announces itself. */
const ATTEMPTS: Readonly<Record<string, number>> = {
	'change-under-way': 100,
	'disk-unknown': 20,
};

const isRetried = (error: unknown, attempt: number) =>
	error instanceof RefusedError && attempt < (ATTEMPTS[error.reason] ?? 0);

/**
 * Carries out an operator's change, one membership change at a time, until it is in force.
 *
 * @param findGroup - the group while this host leads it; throws NotLeaderError otherwise.
 */
export const changeReplicas = async (
	findGroup: () => ReplicaGroup,
	change: ReplicaChange,
	announced: ReadonlyMap<DaemonId, DiskId>,
	clock: Clock,
): Promise<void> => {
	for (let attempt = 1; ; attempt++) {
		try {
			const group = findGroup();
			const {state} = group;
			if (state.memberships.at(-1)!.index > state.commitIndex) {
				// The change under way may still be undone, so nothing can be planned on it.
				throw new RefusedError(`Group ${state.groupId} is being changed.`, {
					reason: 'change-under-way',
					hint: 'Retry after a while.',
				});
			}

			const planned = planReplicaChange(state, change, announced);
			if (!planned) {
				return;
			}

			await group.waiters.changeMembership(planned);
		} catch (error) {
			if (!isRetried(error, attempt)) {
				throw error;
			}

			await waitOn(clock, RETRY_MS);
		}
	}
};
