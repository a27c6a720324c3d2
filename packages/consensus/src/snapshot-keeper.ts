import {type HistoryStream, isDiskFull} from '@marjoramcove/storage';
import type {GroupId} from '@marjoramcove/types';
import type {GroupPort} from './group-port.ts';
import type {ReplicaDescriptor} from './membership.ts';
import {membershipAt} from './raft-state.ts';
import type {RaftState, SnapshotMeta} from './raft-types.ts';
import type {StateMachine} from './state-machine.ts';

/** Decides when a group takes a snapshot, and saves it. */
export class SnapshotKeeper {
	/** The latest snapshot on the disk. */
	latest: SnapshotMeta | undefined;
	readonly #port: GroupPort;
	readonly #groupId: GroupId;
	#bytesSince = 0;
	#isSaving = false;

	constructor(
		port: GroupPort,
		groupId: GroupId,
		latest: SnapshotMeta | undefined,
	) {
		this.#port = port;
		this.#groupId = groupId;
		this.latest = latest;
	}

	/** Whether enough was applied since the last snapshot. */
	isDue(state: RaftState, appliedBytes: number): boolean {
		this.#bytesSince += appliedBytes;
		const entriesSince = state.appliedIndex - (this.latest?.index ?? 0);
		// A snapshot that is larger than the log before it would cost more writes than the log.
		const bytesBetween = Math.max(
			this.#port.snapshotEveryBytes,
			this.latest?.sizeBytes ?? 0,
		);
		return (
			!this.#isSaving &&
			(entriesSince >= this.#port.snapshotEveryEntries ||
				this.#bytesSince >= bytesBetween)
		);
	}

	/**
	 * Offers the latest snapshot. One that ends before the log in memory begins would leave a gap, so a
	 * new one is taken; the protocol repeats the offer.
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
			this.#port.send(to, {type: 'snapshot-offer', term, meta});
		} else {
			this.take(machine, state, history);
		}
	}

	/** Encodes the state now and saves it in the background. */
	take(machine: StateMachine, state: RaftState, history: HistoryStream): void {
		// While a snapshot is fetched, the history is ahead of the state.
		if (
			this.#isSaving ||
			state.isFetching ||
			state.appliedIndex <= (this.latest?.index ?? 0)
		) {
			return;
		}

		this.#isSaving = true;
		this.#bytesSince = 0;
		const bytes = machine.takeSnapshot();
		const meta: SnapshotMeta = {
			index: state.appliedIndex,
			term: state.log.termAt(state.appliedIndex)!,
			membership: membershipAt(state, state.appliedIndex),
			historyBytes: history.lengthBytes,
			historyStart: machine.historyFloor(),
			sizeBytes: bytes.length,
		};
		void this.#save(meta, bytes, history);
	}

	async #save(meta: SnapshotMeta, bytes: Uint8Array, history: HistoryStream) {
		try {
			// The snapshot must not refer to history that a crash could lose.
			await history.sync();
			await this.#port.snapshots.save(this.#groupId, meta, bytes);
			if (meta.index > (this.latest?.index ?? 0)) {
				this.latest = meta;
			}

			await history.deleteBefore(this.latest?.historyStart ?? 0);

			this.#port.snapshotSaved();
		} catch (error) {
			if (!isDiskFull(error)) {
				this.#port.fail(error);
			}

			this.#port.report('snapshot-failed', {
				groupId: this.#groupId,
				index: meta.index,
				reason: 'disk-full',
			});
		} finally {
			this.#isSaving = false;
		}
	}
}
