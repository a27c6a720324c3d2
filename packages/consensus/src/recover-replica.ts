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

/** Entries after the snapshot, provided that the log contains the snapshot's last entry. */
const entriesAfter = (
	start: {index: number; term: number},
	log: RecoveredLog,
) => {
	const base = log.base ?? start;
	const termAtStart =
		base.index === start.index
			? (base.term ?? start.term)
			: log.entries[start.index - base.index - 1]?.term;
	// A log without that entry is older than the snapshot, or differs from it.
	return termAtStart === start.term
		? log.entries.slice(start.index - base.index)
		: [];
};

/**
 * Joins what the log and the latest snapshot of a group hold.
 *
 * @throws DataCorruptionError when entries between them are missing.
 */
export const recoverReplica = (
	groupId: GroupId,
	selfId: DiskId,
	log: RecoveredLog,
	snapshot: SnapshotMeta | undefined,
): RecoveredReplica => {
	const start = snapshot ?? {index: 0, term: 0};
	if (log.base && log.base.index > start.index) {
		refuse(
			groupId,
			`the log begins after entry ${log.base.index}, but the snapshot ends at ${start.index}`,
		);
	}

	return {
		groupId,
		selfId,
		term: Math.max(log.term, start.term),
		votedFor: log.term >= start.term ? log.votedFor : undefined,
		baseIndex: start.index,
		baseTerm: start.term,
		membership:
			snapshot?.membership ?? log.formation.membership ?? EMPTY_MEMBERSHIP,
		entries: entriesAfter(start, log),
		snapshotIndex: start.index,
	};
};
