import {type HistoryStream, isDiskFull} from '@marjoramcove/storage';
import type {GroupId} from '@marjoramcove/types';
import type {GroupHost} from './group-host.ts';
import type {ReplicaDescriptor} from './membership.ts';
import type {SnapshotTransferMessage} from './peer-messages.ts';
import type {SnapshotMeta} from './raft-types.ts';

/** A request is resent after this time without an answer. */
const REQUEST_RETRY_MS = 500;
/** The fetch is aborted after this time without received data or a new offer. */
const STALL_TIMEOUT_MS = 3000;

type Chunk = Extract<
	SnapshotTransferMessage,
	{type: 'history-chunk' | 'snapshot-chunk'}
>;

/** Options of a {@link SnapshotFetch}. */
export type SnapshotFetchOptions = {
	host: GroupHost;
	groupId: GroupId;
	history: HistoryStream;
	from: ReplicaDescriptor;
	meta: SnapshotMeta;
	/** Called once: with the snapshot, which is then on disk, or with `undefined` after an abort. */
	finish: (meta: SnapshotMeta | undefined) => void;
};

/**
 * Copies a snapshot and the missing range of the history from another replica, one chunk at a time.
 *
 * The history has the same bytes on all replicas, so copied history stays valid when the source or
 * the snapshot changes.
 */
export class SnapshotFetch {
	/** Content of the snapshot. Set when the fetch has finished. */
	bytes: Uint8Array = new Uint8Array();
	readonly #options: SnapshotFetchOptions;
	/** Length of the history that the applied entries produced. */
	readonly #appliedHistoryBytes: number;
	#from: ReplicaDescriptor;
	#meta: SnapshotMeta;
	#chunks: Uint8Array[] = [];
	#receivedBytes = 0;
	#requestedAtMs = 0;
	#progressAtMs: number;
	#isFinishing = false;

	constructor(options: SnapshotFetchOptions) {
		this.#options = options;
		this.#from = options.from;
		this.#meta = options.meta;
		this.#appliedHistoryBytes = options.history.lengthBytes;
		this.#progressAtMs = this.#nowMs;
		this.#requestNext();
	}

	get #nowMs() {
		return this.#options.host.clock.nowMs();
	}

	/** Switches to the offered snapshot if it is newer, or if another source offers the same one. */
	handleOffer(from: ReplicaDescriptor, meta: SnapshotMeta): void {
		if (this.#isFinishing) {
			return;
		}

		const isSame =
			meta.index === this.#meta.index && from.diskId === this.#from.diskId;
		if (!isSame && meta.index >= this.#meta.index) {
			this.#from = from;
			this.#meta = meta;
			this.#chunks = [];
			this.#receivedBytes = 0;
			this.#progressAtMs = this.#nowMs;
			this.#requestNext();
		}
	}

	tick(): void {
		if (this.#nowMs - this.#progressAtMs > STALL_TIMEOUT_MS) {
			void this.#abort();
		} else if (this.#nowMs - this.#requestedAtMs > REQUEST_RETRY_MS) {
			this.#requestNext();
		}
	}

	receive(from: ReplicaDescriptor, chunk: Chunk): void {
		if (this.#isFinishing || from.diskId !== this.#from.diskId) {
			return;
		}

		if (chunk.type === 'history-chunk') {
			this.#receiveHistory(chunk);
		} else {
			this.#receiveSnapshot(chunk);
		}
	}

	#receiveHistory(chunk: Extract<Chunk, {type: 'history-chunk'}>) {
		const {history} = this.#options;
		const missing = this.#meta.historyBytes - history.lengthBytes;
		if (chunk.offset !== history.lengthBytes || chunk.bytes.length === 0) {
			return;
		}

		// A copy, because the chunk is a view of a whole batch.
		history.append(Buffer.from(chunk.bytes.subarray(0, missing)));
		this.#progressAtMs = this.#nowMs;
		this.#requestNext();
	}

	#receiveSnapshot(chunk: Extract<Chunk, {type: 'snapshot-chunk'}>) {
		if (chunk.index !== this.#meta.index) {
			return;
		}

		if (!chunk.isKept) {
			void this.#abort();
			return;
		}

		if (chunk.offset === this.#receivedBytes) {
			this.#chunks.push(Buffer.from(chunk.bytes));
			this.#receivedBytes += chunk.bytes.length;
			this.#progressAtMs = this.#nowMs;
			this.#requestNext();
		}
	}

	#requestNext() {
		if (this.#isFinishing) {
			return;
		}

		const {host, history} = this.#options;
		this.#requestedAtMs = this.#nowMs;
		const {historyStart = 0} = this.#meta;
		if (history.lengthBytes < historyStart) {
			void this.#skipHistory(historyStart);
		} else if (history.lengthBytes < this.#meta.historyBytes) {
			host.send(this.#from, {
				type: 'fetch-history',
				offset: history.lengthBytes,
				endOffset: this.#meta.historyBytes,
			});
		} else if (this.#receivedBytes < this.#meta.sizeBytes) {
			host.send(this.#from, {
				type: 'fetch-snapshot',
				index: this.#meta.index,
				offset: this.#receivedBytes,
			});
		} else {
			void this.#complete();
		}
	}

	/** Skips the history that the source has deleted. */
	async #skipHistory(offset: number) {
		try {
			const {history} = this.#options;
			await history.flush();
			if (!this.#isFinishing) {
				history.skipTo(offset);
				this.#requestNext();
			}
		} catch (error) {
			this.#options.host.fail(error);
		}
	}

	async #complete() {
		this.#isFinishing = true;
		const {host, groupId, history, finish} = this.#options;
		this.bytes = Buffer.concat(this.#chunks);
		this.#chunks = [];
		try {
			// This snapshot may have been offered before the history copied for another one was truncated.
			await history.truncate(this.#meta.historyBytes);
			await history.sync();
			await host.snapshots.save(groupId, this.#meta, this.bytes);
			finish(this.#meta);
			await history.deleteBefore(this.#meta.historyStart ?? 0);
		} catch (error) {
			if (isDiskFull(error)) {
				this.#isFinishing = false;
				await this.#abort();
			} else {
				host.fail(error);
			}
		}
	}

	/** Truncates the history to what the applied entries produced, and ends the fetch. */
	async #abort() {
		if (this.#isFinishing) {
			return;
		}

		this.#isFinishing = true;
		const {host, history, finish} = this.#options;
		try {
			await history.truncate(this.#appliedHistoryBytes);
			finish(undefined);
		} catch (error) {
			host.fail(error);
		}
	}
}
