import type {ReplicaDescriptor} from './membership.ts';
import {currentMembership, isLive, sendMessage} from './raft-state.ts';
import type {StepContext} from './raft-types.ts';

/** Live voters that have not failed to take over recently, those with the highest match index first. */
const findTransferTargets = ({
	state,
	nowMs,
}: StepContext): ReplicaDescriptor[] => {
	if (nowMs >= state.failedTransfers.retryMs) {
		state.failedTransfers.to = [];
	}

	return currentMembership(state)
		.voters.map((voter) => ({
			voter,
			progress: state.progress.get(voter.diskId),
		}))
		.filter(
			({voter, progress}) =>
				progress &&
				isLive(state, progress, nowMs) &&
				!state.failedTransfers.to.includes(voter.diskId),
		)
		.toSorted((a, b) => b.progress!.matchIndex - a.progress!.matchIndex)
		.map(({voter}) => voter);
};

/** Starts a leadership transfer to the live voter with the highest match index. */
export const startTransfer = (context: StepContext): void => {
	const {state, nowMs} = context;
	if (state.role !== 'leader' || state.transfer) {
		return;
	}

	const [target] = findTransferTargets(context);
	if (target) {
		state.transfer = {
			to: target.diskId,
			dueMs: nowMs + state.settings.electionTimeoutMinMs,
		};
		continueTransfer(context);
	}
};

/** Tells the transfer target to take over once it has the whole log. */
export const continueTransfer = (context: StepContext): void => {
	const {state} = context;
	const target = currentMembership(state).voters.find(
		(voter) => voter.diskId === state.transfer?.to,
	);
	if (
		target &&
		state.progress.get(target.diskId)?.matchIndex === state.log.lastIndex
	) {
		sendMessage(
			context,
			target,
			{type: 'timeout-now', term: state.term},
			false,
		);
	}
};
