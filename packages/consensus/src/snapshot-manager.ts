import {type HistoryStream, isDiskFull} from '@marjoramcove/storage';
import type {GroupId} from '@marjoramcove/types';
import type {GroupHost} from './group-host.ts';
import type {ReplicaDescriptor} from './membership.ts';
import {membershipAt} from './raft-state.ts';
import type {RaftState, SnapshotMeta} from './raft-types.ts';
import type {StateMachine} from './state-machine.ts';

/** Takes, saves and offers the snapshots of a group. */
export class SnapshotManager {
	/** The latest snapshot on disk. */
	latest: SnapshotMeta | undefined;
	readonly #host: GroupHost;
	readonly #groupId: GroupId;
	#bytesSinceSnapshot = 0;
	#isSaving = false;

	constructor(
		host: GroupHost,
		groupId: GroupId,
		latest: SnapshotMeta | undefined,
	) {
		this.#host = host;
		this.#groupId = groupId;
		this.latest = latest;
	}

	/** Whether enough entries were applied since the last snapshot to take the next one. */
	isDue(state: RaftState, appliedBytes: number): boolean {
		this.#bytesSinceSnapshot += appliedBytes;
		const entriesSinceSnapshot = state.appliedIndex - (this.latest?.index ?? 0);
		// A snapshot that is larger than the log since the last one would cost more writes than that log.
		const byteThreshold = Math.max(
			this.#host.snapshotEveryBytes,
			this.latest?.sizeBytes ?? 0,
		);
		return (
			!this.#isSaving &&
			(entriesSinceSnapshot >= this.#host.snapshotEveryEntries ||
				this.#bytesSinceSnapshot >= byteThreshold)
		);
	}

	/**
	 * Offers the latest snapshot. If it ends before the in-memory log begins, the receiver would have a
	 * gap, so a new snapshot is taken instead; the protocol repeats the offer.
	 */
	offer(
		to: ReplicaDescriptor,
		machine: StateMachine,
		state: RaftState,
		history: HistoryStream,
	): void {
		const meta = this.latest;
		if (meta && meta.index >= state.log.baseIndex) {
			const {term} = state;
			this.#host.send(to, {type: 'snapshot-offer', term, meta});
		} else {
			this.take(machine, state, history);
		}
	}

	/** Encodes the state immediately and saves it in the background. */
	take(machine: StateMachine, state: RaftState, history: HistoryStream): void {
		// While a snapshot is being fetched, the history is ahead of the state.
		if (
			this.#isSaving ||
			state.isFetching ||
			state.appliedIndex <= (this.latest?.index ?? 0)
		) {
			return;
		}

		this.#isSaving = true;
		this.#bytesSinceSnapshot = 0;
		const bytes = machine.takeSnapshot();
		const meta: SnapshotMeta = {
			index: state.appliedIndex,
			term: state.log.termAt(state.appliedIndex)!,
			membership: membershipAt(state, state.appliedIndex),
			historyBytes: history.lengthBytes,
			historyStart: machine.historyStartOffset(),
			sizeBytes: bytes.length,
		};
		void this.#save(meta, bytes, history);
	}

	async #save(meta: SnapshotMeta, bytes: Uint8Array, history: HistoryStream) {
		try {
			// The snapshot must not refer to history that a crash could lose.
			await history.sync();
			await this.#host.snapshots.save(this.#groupId, meta, bytes);
			if (meta.index > (this.latest?.index ?? 0)) {
				this.latest = meta;
			}

			await history.deleteBefore(this.latest?.historyStart ?? 0);

			this.#host.snapshotSaved();
		} catch (error) {
			if (!isDiskFull(error)) {
				this.#host.fail(error);
			}

			this.#host.report('snapshot-failed', {
				groupId: this.#groupId,
				index: meta.index,
				reason: 'disk-full',
			});
		} finally {
			this.#isSaving = false;
		}
	}
}
