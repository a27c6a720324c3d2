import type {GroupId} from '@marjoramcove/types';
import type {ReplicaGroup} from './replica-group.ts';

const DEFAULT_LIMIT_BYTES = 8 * 1024 * 1024;
/** Fraction of the limit to trim to, so that not every new entry triggers another trim. */
const TRIM_TARGET_FACTOR = 0.75;
/** Multiple of the limit above which entries are dropped even if a live replica still needs them. */
const HARD_LIMIT_FACTOR = 2;

/**
 * Bounds the total memory of the logs of all groups. Above the limit, every group drops applied entries
 * in proportion to its size. A replica that still needs them gets a snapshot.
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

	/** Schedules a trim. It is deferred because a step of a group may be in progress. */
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

		const keepRatio = (TRIM_TARGET_FACTOR * this.#limitBytes) / totalBytes;
		for (const group of this.#groups.values()) {
			group.step({
				type: 'trim-log',
				sizeBytes: group.state.log.sizeBytes * keepRatio,
				snapshotIndex: group.snapshotMeta?.index ?? 0,
				isForced: totalBytes > HARD_LIMIT_FACTOR * this.#limitBytes,
			});
		}
	}
}
