import {shardOfProgram} from '@marjoramcove/programs';
import type {OpenWork} from '@marjoramcove/scheduler';
import type {ProgramId, RequestId, UpstreamId} from '@marjoramcove/types';

type CallKey = {programId: ProgramId; requestId: RequestId};

/** An open call at an upstream with its estimated work. */
export type CallLoad = CallKey & {upstreamId: UpstreamId; work: OpenWork};

const noWork: Readonly<OpenWork> = {
	calls: 0,
	prefillTokens: 0,
	completionTokens: 0,
};

/**
 * Tracks the open work at each upstream from the commands applied on this replica. A daemon with a
 * disk applies the commands of all shards, so this covers the calls of all owners.
 */
export class OpenCallLoads {
	readonly #calls = new Map<string, CallLoad>();
	readonly #openWork = new Map<UpstreamId, OpenWork>();
	readonly #openWorkAtReport = new Map<UpstreamId, OpenWork>();

	/** Work that is currently open at the upstream. */
	openWork(upstreamId: UpstreamId): Readonly<OpenWork> {
		return this.#openWork.get(upstreamId) ?? noWork;
	}

	/** Work that was open when the last load report of the upstream arrived. */
	openWorkAtReport(upstreamId: UpstreamId): Readonly<OpenWork> {
		return this.#openWorkAtReport.get(upstreamId) ?? noWork;
	}

	/** Records the open work at the arrival of a load report of the upstream. */
	recordReport(upstreamId: UpstreamId): void {
		this.#openWorkAtReport.set(upstreamId, {...this.openWork(upstreamId)});
	}

	/** Adds a call, or moves it to the upstream of its new attempt. */
	add(call: CallLoad): void {
		this.remove(call);
		this.#calls.set(`${call.programId}:${call.requestId}`, call);
		this.#addWork(call, 1);
	}

	/** Removes a settled call. */
	remove({programId, requestId}: CallKey): void {
		const key = `${programId}:${requestId}`;
		const call = this.#calls.get(key);
		if (call) {
			this.#calls.delete(key);
			this.#addWork(call, -1);
		}
	}

	/** Replaces the calls of a shard after a snapshot, whose commands are not applied one by one. */
	replaceShard(shard: number, calls: readonly CallLoad[]): void {
		for (const call of this.#calls.values()) {
			if (shardOfProgram(call.programId) === shard) {
				this.remove(call);
			}
		}

		for (const call of calls) {
			this.add(call);
		}
	}

	#addWork({upstreamId, work}: CallLoad, sign: 1 | -1): void {
		const total = this.#openWork.get(upstreamId) ?? {...noWork};
		total.calls += sign * work.calls;
		total.prefillTokens += sign * work.prefillTokens;
		total.completionTokens += sign * work.completionTokens;
		this.#openWork.set(upstreamId, total);
	}
}
