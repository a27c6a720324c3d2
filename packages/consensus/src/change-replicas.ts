import {RefusedError} from '@marjoramcove/errors';
import type {DaemonId, DiskId} from '@marjoramcove/types';
import {type Clock, waitOn} from './clock.ts';
import {planReplicaChange} from './plan-replica-change.ts';
import type {ReplicaGroup} from './replica-group.ts';
import type {ReplicaChange} from './replica-options.ts';

/** Interval and number of attempts while another membership change is under way. */
const RETRY_MS = 100;
const ATTEMPTS = 100;

const isBusy = (error: unknown) =>
	error instanceof RefusedError && error.reason === 'change-under-way';

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
		const group = findGroup();
		const planned = planReplicaChange(group.state, change, announced);
		if (!planned) {
			return;
		}

		try {
			await group.waiters.changeMembership(planned);
		} catch (error) {
			if (!isBusy(error) || attempt === ATTEMPTS) {
				throw error;
			}

			await waitOn(clock, RETRY_MS);
		}
	}
};
