import {isLive} from './raft-state.ts';
import type {RaftEvent, RaftState, StepContext} from './raft-types.ts';

/** Forgets the entries up to the given one, and memberships that only they need. */
export const compactLog = (state: RaftState, base: number): void => {
	if (base > state.log.baseIndex) {
		state.log.compact(base);
		const first = state.memberships.findLastIndex(
			(known) => known.index <= base,
		);
		state.memberships = state.memberships.slice(Math.max(0, first));
	}
};

/** Last entry that no live replica needs from the log of this one. */
const findNeededAfter = (
	{state, nowMs}: StepContext,
	snapshotIndex: number,
): number => {
	let index = state.appliedIndex;
	for (const progress of state.progress.values()) {
		if (isLive(state, progress, nowMs)) {
			index = Math.min(
				index,
				progress.mode === 'snapshot' ? snapshotIndex : progress.matchIndex,
			);
		}
	}

	return index;
};

/**
 * Drops applied and durable entries from memory until the log is small enough. They stay on the disk
 * until a snapshot has passed them; a replica that needs them gets a snapshot.
 */
export const trimLog = (
	context: StepContext,
	event: Extract<RaftEvent, {type: 'trim-log'}>,
): void => {
	const {state} = context;
	// An entry must not go before its sync is noted, because the sync is checked against its term.
	const droppable = Math.min(state.appliedIndex, state.durableIndex);
	const wanted = Math.min(droppable, state.log.findTrimIndex(event.sizeBytes));
	compactLog(
		state,
		event.isForced
			? wanted
			: Math.min(wanted, findNeededAfter(context, event.snapshotIndex)),
	);
};
