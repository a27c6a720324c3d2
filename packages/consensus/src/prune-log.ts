import type {WriteAheadLog} from '@marjoramcove/storage';
import type {ReplicaGroup} from './replica-group.ts';

/**
 * Distance between the first and the current segment at which groups that need the first one take a
 * snapshot. A group with few writes would otherwise retain old segments for a long time.
 */
const SNAPSHOT_SEGMENT_THRESHOLD = 4;

/** Deletes the segments whose entries are contained in the snapshots of all groups. */
export const pruneLog = async (
	log: WriteAheadLog,
	groups: readonly ReplicaGroup[],
): Promise<void> => {
	let firstNeededSegment = log.currentSegment;
	for (const group of groups) {
		firstNeededSegment = Math.min(firstNeededSegment, group.firstNeededSegment);
	}

	if (firstNeededSegment > log.firstSegment) {
		for (const group of groups) {
			if (group.metadataSegment < firstNeededSegment) {
				await group.rewriteMetadata();
			}
		}

		await log.truncatePrefix(firstNeededSegment);
	}

	if (log.currentSegment - log.firstSegment < SNAPSHOT_SEGMENT_THRESHOLD) {
		return;
	}

	for (const group of groups) {
		if (group.firstNeededSegment === log.firstSegment) {
			group.takeSnapshot();
		}
	}
};
