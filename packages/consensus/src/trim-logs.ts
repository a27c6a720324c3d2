import type {GroupId} from '@marjoramcove/types';
import type {ReplicaGroup} from './replica-group.ts';

const DEFAULT_LIMIT_BYTES = 8 * 1024 * 1024;
/** Share of the limit that stays after trimming, so that not every entry trims again. */
const KEPT_SHARE = 0.75;
/** Multiple of the limit from which entries are dropped although a live replica needs them. */
const HARD_LIMIT_FACTOR = 2;

/**
 * Bounds the memory of the logs of all groups together. Each group that keeps more than its share
 * drops applied entries; a replica that needs them gets a snapshot.
 */
export class LogTrimmer {
	readonly #groups: ReadonlyMap<GroupId, ReplicaGroup>;
	readonly #limitBytes: number;
	#isScheduled = false;

	constructor(
		groups: ReadonlyMap<GroupId, ReplicaGroup>,
		limitBytes = DEFAULT_LIMIT_BYTES,
	) {
		this.#groups = groups;
		this.#limitBytes = limitBytes;
	}

	/** Trims soon, because a step of a group may be under way. */
	readonly schedule = (): void => {
		if (!this.#isScheduled) {
			this.#isScheduled = true;
			queueMicrotask(() => {
				this.#isScheduled = false;
				this.#trim();
			});
		}
	};

	#trim(): void {
		let totalBytes = 0;
		for (const group of this.#groups.values()) {
			totalBytes += group.state.log.sizeBytes;
		}

		if (totalBytes <= this.#limitBytes) {
			return;
		}

		const share = (KEPT_SHARE * this.#limitBytes) / totalBytes;
		for (const group of this.#groups.values()) {
			group.step({
				type: 'trim-log',
				sizeBytes: group.state.log.sizeBytes * share,
				snapshotIndex: group.snapshotMeta?.index ?? 0,
				isForced: totalBytes > HARD_LIMIT_FACTOR * this.#limitBytes,
			});
		}
	}
}
