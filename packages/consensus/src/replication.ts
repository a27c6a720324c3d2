import type {ReplicaDescriptor} from './membership.ts';
import {currentMembership, isLive, sendMessage} from './raft-state.ts';
import type {
	LogEntry,
	Progress,
	RaftMessage,
	RaftState,
	StepContext,
} from './raft-types.ts';

type AppendResponse = Extract<RaftMessage, {type: 'append-response'}>;

const collectEntries = (state: RaftState, first: number) => {
	const entries: LogEntry[] = [];
	let sizeBytes = 0;
	for (let index = first; index <= state.log.lastIndex; index++) {
		const entry = state.log.at(index)!;
		sizeBytes += entry.command.length + 32;
		if (entries.length > 0 && sizeBytes > state.settings.appendSizeBytes) {
			break;
		}

		entries.push(entry);
	}

	return entries;
};

const sendAppend = (
	context: StepContext,
	replica: ReplicaDescriptor,
	progress: Progress,
) => {
	const {state, nowMs} = context;
	const previousIndex = progress.nextIndex - 1;
	const entries = collectEntries(state, progress.nextIndex);
	if (progress.inFlight.length === 0) {
		progress.waitingSinceMs = nowMs;
	}

	const lastIndex = previousIndex + entries.length;
	progress.inFlight.push(lastIndex);
	if (progress.mode === 'replicate') {
		progress.nextIndex = lastIndex + 1;
	}

	progress.sentCommitIndex = Math.max(
		progress.sentCommitIndex,
		Math.min(state.commitIndex, lastIndex),
	);
	sendMessage(
		context,
		replica,
		{
			type: 'append',
			term: state.term,
			previousIndex,
			previousTerm: state.log.termAt(previousIndex)!,
			commitIndex: state.commitIndex,
			entries,
		},
		// A leader may replicate before its own write is durable, because it counts itself only after that.
		false,
	);
};

const offerSnapshot = (
	context: StepContext,
	replica: ReplicaDescriptor,
	progress: Progress,
) => {
	const {state, nowMs} = context;
	progress.mode = 'snapshot';
	progress.waitingSinceMs = nowMs;
	progress.inFlight = [];
	// An offer may take a new snapshot. Offering to an unreachable replica would take one at every retry.
	if (isLive(state, progress, nowMs)) {
		context.actions.push({type: 'offer-snapshot', to: replica});
	}
};

/** Sends missing entries to a replica, as far as flow control allows. */
export const replicateTo = (
	context: StepContext,
	replica: ReplicaDescriptor,
): void => {
	const {state} = context;
	const progress = state.progress.get(replica.diskId);
	if (!progress || progress.mode === 'snapshot') {
		return;
	}

	if (progress.nextIndex <= state.log.baseIndex) {
		offerSnapshot(context, replica, progress);
		return;
	}

	if (progress.mode === 'probe') {
		if (progress.inFlight.length === 0) {
			sendAppend(context, replica, progress);
		}

		return;
	}

	while (
		progress.nextIndex <= state.log.lastIndex &&
		progress.inFlight.length < state.settings.appendsInFlight
	) {
		sendAppend(context, replica, progress);
	}
};

/** Sends missing entries to all other replicas. */
export const replicateToAll = (context: StepContext): void => {
	const {voters, learners} = currentMembership(context.state);
	for (const replica of [...voters, ...learners]) {
		replicateTo(context, replica);
	}
};

/** Resends messages that were not answered within half the minimum election timeout. */
export const retryReplication = (context: StepContext): void => {
	const {state, nowMs} = context;
	const {voters, learners} = currentMembership(state);
	for (const replica of [...voters, ...learners]) {
		const progress = state.progress.get(replica.diskId);
		const isWaiting =
			progress &&
			(progress.mode === 'snapshot' || progress.inFlight.length > 0);
		if (
			!isWaiting ||
			nowMs - progress.waitingSinceMs < state.settings.electionTimeoutMinMs / 2
		) {
			continue;
		}

		progress.mode = 'probe';
		progress.inFlight = [];
		progress.nextIndex = progress.matchIndex + 1;
		replicateTo(context, replica);
	}
};

const handleAppendRejection = (
	progress: Progress,
	response: AppendResponse,
) => {
	// A rejection of entries that match by now is stale.
	if (response.index <= progress.matchIndex || progress.mode === 'snapshot') {
		return;
	}

	progress.mode = 'probe';
	progress.inFlight = [];
	progress.nextIndex =
		Math.max(
			progress.matchIndex,
			Math.min(response.hintIndex, response.index - 1),
		) + 1;
};

/** Updates the progress of a replica. Returns whether its match index has increased. */
export const handleAppendResponse = (
	context: StepContext,
	from: ReplicaDescriptor,
	response: AppendResponse,
): boolean => {
	const {state, nowMs} = context;
	const progress = state.progress.get(from.diskId)!;
	if (!response.isAccepted) {
		handleAppendRejection(progress, response);
		return false;
	}

	const hasGrown = response.index > progress.matchIndex;
	if (hasGrown) {
		progress.matchIndex = response.index;
		progress.waitingSinceMs = nowMs;
	}

	if (progress.mode !== 'replicate') {
		if (progress.matchIndex < state.log.baseIndex) {
			return hasGrown;
		}

		progress.mode = 'replicate';
		progress.inFlight = [];
		progress.nextIndex = progress.matchIndex + 1;
	}

	progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
	progress.inFlight = progress.inFlight.filter(
		(lastIndex) => lastIndex > response.index,
	);
	return hasGrown;
};
