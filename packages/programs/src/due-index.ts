import type {ProgramId} from '@marjoramcove/types';

const BUCKET_MS = 1000;

/**
 * Programs by the second in which they may need work. An entry is not removed when its program
 * changes, so the caller must check each program that it takes.
 */
export class DueIndex {
	readonly #buckets = new Map<number, ProgramId[]>();
	#firstBucket = Number.POSITIVE_INFINITY;

	add(programId: ProgramId, dueMs: number): void {
		const bucket = Math.floor(dueMs / BUCKET_MS);
		const ids = this.#buckets.get(bucket);
		if (ids) {
			ids.push(programId);
		} else {
			this.#buckets.set(bucket, [programId]);
			this.#firstBucket = Math.min(this.#firstBucket, bucket);
		}
	}

	/** Lists the programs due in any second up to and including that of `nowMs`. */
	list(nowMs: number): ProgramId[] {
		const last = Math.floor(nowMs / BUCKET_MS);
		return this.#firstBucket > last
			? []
			: [...this.#buckets].flatMap(([bucket, ids]) =>
					bucket <= last ? ids : [],
				);
	}

	/** Removes and returns the programs due in any second up to and including that of `nowMs`. */
	take(nowMs: number): ProgramId[] {
		const taken = this.list(nowMs);
		if (taken.length > 0) {
			const last = Math.floor(nowMs / BUCKET_MS);
			this.#firstBucket = Number.POSITIVE_INFINITY;
			for (const bucket of this.#buckets.keys()) {
				if (bucket <= last) {
					this.#buckets.delete(bucket);
				} else {
					this.#firstBucket = Math.min(this.#firstBucket, bucket);
				}
			}
		}

		return taken;
	}
}
