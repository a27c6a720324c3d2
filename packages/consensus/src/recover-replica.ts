import {DataCorruptionError} from '@marjoramcove/errors';
import type {DiskId, GroupId} from '@marjoramcove/types';
import type {RecoveredLog} from './log-records.ts';
import {EMPTY_MEMBERSHIP} from './membership.ts';
import type {RecoveredReplica} from './raft-state.ts';
import type {SnapshotMeta} from './raft-types.ts';

const refuse = (groupId: GroupId, found: string): never => {
	throw new DataCorruptionError(
		`write-ahead log of group ${groupId}`,
		0,
		found,
	);
};

/** Whether the log contains the last entry of the snapshot. */
const isContinuous = (
	start: {index: number; term: number},
	log: RecoveredLog,
) => {
	const base = log.base ?? start;
	const termAtStart =
		base.index === start.index
			? (base.term ?? start.term)
			: log.entries[start.index - base.index - 1]?.term;
	return termAtStart === start.term;
};

/**
 * Joins what the log and the latest snapshot of a group hold.
 *
 * A log that does not contain the snapshot's last entry is older than the snapshot or differs from
 * it, and is discarded: the crash came between the snapshot and the record that restarts the log.
 *
 * @throws DataCorruptionError when entries between them are missing.
 */
export const recoverReplica = (
	groupId: GroupId,
	selfId: DiskId,
	log: RecoveredLog,
	snapshot: SnapshotMeta | undefined,
): RecoveredReplica & {isLogDiscarded: boolean} => {
	const start = snapshot ?? {index: 0, term: 0};
	if (log.base && log.base.index > start.index) {
		refuse(
			groupId,
			`the log begins after entry ${log.base.index}, but the snapshot ends at ${start.index}`,
		);
	}

	const baseIndex = log.base?.index ?? start.index;
	const isLogDiscarded = !isContinuous(start, log);
	return {
		isLogDiscarded,
		groupId,
		selfId,
		term: Math.max(log.term, start.term),
		votedFor: log.term >= start.term ? log.votedFor : undefined,
		baseIndex: start.index,
		baseTerm: start.term,
		membership:
			snapshot?.membership ?? log.formation.membership ?? EMPTY_MEMBERSHIP,
		entries: isLogDiscarded ? [] : log.entries.slice(start.index - baseIndex),
		snapshotIndex: start.index,
	};
};
