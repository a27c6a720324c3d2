import {DataCorruptionError} from '@marjoramcove/errors';
import type {DiskId, GroupId} from '@marjoramcove/types';
import type {RecoveredLog} from './log-records.ts';
import {EMPTY_MEMBERSHIP} from './membership.ts';
import type {RecoveredReplica} from './raft-state.ts';
import type {SnapshotMeta} from './raft-types.ts';

const throwCorruption = (groupId: GroupId, problem: string): never => {
	throw new DataCorruptionError(
		`write-ahead log of group ${groupId}`,
		0,
		problem,
	);
};

/** Whether the log contains the last entry of the snapshot with the same term. */
const isContinuous = (
	snapshotEnd: {index: number; term: number},
	log: RecoveredLog,
) => {
	const base = log.base ?? snapshotEnd;
	const logTerm =
		base.index === snapshotEnd.index
			? (base.term ?? snapshotEnd.term)
			: log.entries[snapshotEnd.index - base.index - 1]?.term;
	return logTerm === snapshotEnd.term;
};

/**
 * Recovers a replica from the log and the latest snapshot of a group.
 *
 * A log that does not contain the snapshot's last entry is older than the snapshot or conflicts with
 * it, and is discarded. This happens after a crash between saving a fetched snapshot and writing the
 * record that restarts the log.
 *
 * @throws DataCorruptionError when entries between the snapshot and the log are missing.
 */
export const recoverReplica = (
	groupId: GroupId,
	selfId: DiskId,
	log: RecoveredLog,
	snapshot: SnapshotMeta | undefined,
): RecoveredReplica & {isLogDiscarded: boolean} => {
	const snapshotEnd = snapshot ?? {index: 0, term: 0};
	if (log.base && log.base.index > snapshotEnd.index) {
		throwCorruption(
			groupId,
			`the log begins after entry ${log.base.index}, but the snapshot ends at entry ${snapshotEnd.index}`,
		);
	}

	const baseIndex = log.base?.index ?? snapshotEnd.index;
	const isLogDiscarded = !isContinuous(snapshotEnd, log);
	return {
		isLogDiscarded,
		groupId,
		selfId,
		term: Math.max(log.term, snapshotEnd.term),
		votedFor: log.term >= snapshotEnd.term ? log.votedFor : undefined,
		baseIndex: snapshotEnd.index,
		baseTerm: snapshotEnd.term,
		membership:
			snapshot?.membership ?? log.formation.membership ?? EMPTY_MEMBERSHIP,
		entries: isLogDiscarded
			? []
			: log.entries.slice(snapshotEnd.index - baseIndex),
		snapshotIndex: snapshotEnd.index,
	};
};
