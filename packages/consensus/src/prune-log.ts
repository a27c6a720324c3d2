import type {WriteAheadLog} from '@marjoramcove/storage';
import type {ReplicaGroup} from './replica-group.ts';

/** A quiet group takes a snapshot when it alone keeps more segments than this. */
const SEGMENTS_BEFORE_SNAPSHOT = 4;

/** Deletes the segments whose entries all groups have in snapshots. */
export const pruneLog = async (
	log: WriteAheadLog,
	groups: readonly ReplicaGroup[],
): Promise<void> => {
	let needed = log.currentSegment;
	for (const group of groups) {
		needed = Math.min(needed, group.firstNeededSegment);
	}

	if (needed > log.firstSegment) {
		for (const group of groups) {
			if (group.headSegment < needed) {
				await group.rewriteHead();
			}
		}

		await log.truncatePrefix(needed);
	}

	if (log.currentSegment - log.firstSegment < SEGMENTS_BEFORE_SNAPSHOT) {
		return;
	}

	for (const group of groups) {
		if (group.firstNeededSegment === log.firstSegment) {
			group.takeSnapshot();
		}
	}
};
