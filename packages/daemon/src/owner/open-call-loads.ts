import {programOfShard} from '@marjoramcove/programs';
import type {OpenWork} from '@marjoramcove/scheduler';
import type {ProgramId, RequestId, UpstreamId} from '@marjoramcove/types';

type CallName = {programId: ProgramId; requestId: RequestId};

/** An open call at an upstream with its expected work. */
export type CallLoad = CallName & {upstreamId: UpstreamId; work: OpenWork};

const noWork: Readonly<OpenWork> = {
	calls: 0,
	prefillTokens: 0,
	completionTokens: 0,
};

/**
 * Work that is open at each upstream, by the applied commands of this replica. A daemon with a disk
 * applies the commands of all shards, so this covers the calls of all owners.
 */
export class OpenCallLoads {
	readonly #open = new Map<string, CallLoad>();
	readonly #own = new Map<UpstreamId, OpenWork>();
	readonly #atReport = new Map<UpstreamId, OpenWork>();

	/** Work that is open now. */
	own(upstreamId: UpstreamId): Readonly<OpenWork> {
		return this.#own.get(upstreamId) ?? noWork;
	}

	/** Work that was open when the last load report of the upstream arrived. */
	ownAtReport(upstreamId: UpstreamId): Readonly<OpenWork> {
		return this.#atReport.get(upstreamId) ?? noWork;
	}

	/** Notes that a load report of the upstream has arrived. */
	noteReport(upstreamId: UpstreamId): void {
		this.#atReport.set(upstreamId, {...this.own(upstreamId)});
	}

	/** Counts a call, or moves it to the upstream of its new attempt. */
	add(call: CallLoad): void {
		this.remove(call);
		this.#open.set(`${call.programId}:${call.requestId}`, call);
		this.#count(call, 1);
	}

	/** Forgets a call that has settled. */
	remove({programId, requestId}: CallName): void {
		const key = `${programId}:${requestId}`;
		const call = this.#open.get(key);
		if (call) {
			this.#open.delete(key);
			this.#count(call, -1);
		}
	}

	/** Replaces the calls of a shard after a snapshot, which skips the commands that it contains. */
	replaceShard(shard: number, calls: readonly CallLoad[]): void {
		for (const call of this.#open.values()) {
			if (programOfShard(call.programId) === shard) {
				this.remove(call);
			}
		}

		for (const call of calls) {
			this.add(call);
		}
	}

	#count({upstreamId, work}: CallLoad, sign: 1 | -1): void {
		const own = this.#own.get(upstreamId) ?? {...noWork};
		own.calls += sign * work.calls;
		own.prefillTokens += sign * work.prefillTokens;
		own.completionTokens += sign * work.completionTokens;
		this.#own.set(upstreamId, own);
	}
}
