import {isLive} from './raft-state.ts';
import type {RaftEvent, RaftState, StepContext} from './raft-types.ts';

/** Drops the entries up to and including `base`, and the memberships that only they use. */
export const compactLog = (state: RaftState, base: number): void => {
	if (base > state.log.baseIndex) {
		state.log.compact(base);
		const first = state.memberships.findLastIndex(
			(known) => known.index <= base,
		);
		state.memberships = state.memberships.slice(Math.max(0, first));
	}
};

/** Last index that no live replica still needs from this log. */
const lastUnneededIndex = (
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
 * Drops applied and durable entries from memory until the log is small enough. They stay on disk
 * until a snapshot contains them. A replica that still needs them gets a snapshot.
 */
export const trimLog = (
	context: StepContext,
	event: Extract<RaftEvent, {type: 'trim-log'}>,
): void => {
	const {state} = context;
	// An entry must stay until its sync is reported, because that event is checked against its term.
	const maxIndex = Math.min(state.appliedIndex, state.durableIndex);
	const trimIndex = Math.min(
		maxIndex,
		state.log.findTrimIndex(event.sizeBytes),
	);
	compactLog(
		state,
		event.isForced
			? trimIndex
			: Math.min(trimIndex, lastUnneededIndex(context, event.snapshotIndex)),
	);
};
