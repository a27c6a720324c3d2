import {type HistoryStream, isDiskFull} from '@marjoramcove/storage';
import type {GroupId} from '@marjoramcove/types';
import type {GroupPort} from './group-port.ts';
import type {ReplicaDescriptor} from './membership.ts';
import type {TransferMessage} from './peer-messages.ts';
import type {SnapshotMeta} from './raft-types.ts';

/** A request is sent again after this time without an answer. */
const RETRY_MS = 500;
/** The fetch is given up after this time without an answer or a new offer. */
const GIVE_UP_MS = 3000;

type Chunk = Extract<
	TransferMessage,
	{type: 'history-chunk' | 'snapshot-chunk'}
>;

/** What a {@link SnapshotFetch} works with. */
export type SnapshotFetchOptions = {
	port: GroupPort;
	groupId: GroupId;
	history: HistoryStream;
	from: ReplicaDescriptor;
	meta: SnapshotMeta;
	/** Called once: with the snapshot that is on the disk now, or without when it was given up. */
	finish: (meta: SnapshotMeta | undefined) => void;
};

/**
 * Copies a snapshot and the missing range of the history from another replica, one part at a time.
 *
 * The history holds the same bytes on all replicas, so a part that was copied stays valid when the
 * source or the snapshot changes.
 */
export class SnapshotFetch {
	/** Content of the snapshot; complete when the fetch has finished. */
	bytes: Uint8Array = new Uint8Array();
	readonly #options: SnapshotFetchOptions;
	/** Length of the history that the applied entries have produced. */
	readonly #appliedHistoryBytes: number;
	#from: ReplicaDescriptor;
	#meta: SnapshotMeta;
	#parts: Uint8Array[] = [];
	#receivedBytes = 0;
	#askedAtMs = 0;
	#progressAtMs: number;
	#isEnding = false;

	constructor(options: SnapshotFetchOptions) {
		this.#options = options;
		this.#from = options.from;
		this.#meta = options.meta;
		this.#appliedHistoryBytes = options.history.lengthBytes;
		this.#progressAtMs = this.#nowMs;
		this.#ask();
	}

	get #nowMs() {
		return this.#options.port.clock.nowMs();
	}

	/** Follows a newer offer; the offer of the snapshot under way shows that its source is alive. */
	noteOffer(from: ReplicaDescriptor, meta: SnapshotMeta): void {
		if (this.#isEnding) {
			return;
		}

		const isSame =
			meta.index === this.#meta.index && from.diskId === this.#from.diskId;
		if (!isSame && meta.index >= this.#meta.index) {
			this.#from = from;
			this.#meta = meta;
			this.#parts = [];
			this.#receivedBytes = 0;
			this.#progressAtMs = this.#nowMs;
			this.#ask();
		}
	}

	tick(): void {
		if (this.#nowMs - this.#progressAtMs > GIVE_UP_MS) {
			void this.#giveUp();
		} else if (this.#nowMs - this.#askedAtMs > RETRY_MS) {
			this.#ask();
		}
	}

	receive(from: ReplicaDescriptor, chunk: Chunk): void {
		if (this.#isEnding || from.diskId !== this.#from.diskId) {
			return;
		}

		if (chunk.type === 'history-chunk') {
			this.#takeHistory(chunk);
		} else {
			this.#takeSnapshot(chunk);
		}
	}

	#takeHistory(chunk: Extract<Chunk, {type: 'history-chunk'}>) {
		const {history} = this.#options;
		const missing = this.#meta.historyBytes - history.lengthBytes;
		if (chunk.offset !== history.lengthBytes || chunk.bytes.length === 0) {
			return;
		}

		// A copy, because the chunk is a view of a whole message.
		history.append(Buffer.from(chunk.bytes.subarray(0, missing)));
		this.#progressAtMs = this.#nowMs;
		this.#ask();
	}

	#takeSnapshot(chunk: Extract<Chunk, {type: 'snapshot-chunk'}>) {
		if (chunk.index !== this.#meta.index) {
			return;
		}

		if (!chunk.isKept) {
			void this.#giveUp();
			return;
		}

		if (chunk.offset === this.#receivedBytes) {
			this.#parts.push(Buffer.from(chunk.bytes));
			this.#receivedBytes += chunk.bytes.length;
			this.#progressAtMs = this.#nowMs;
			this.#ask();
		}
	}

	#ask() {
		if (this.#isEnding) {
			return;
		}

		const {port, history} = this.#options;
		this.#askedAtMs = this.#nowMs;
		const {historyStart = 0} = this.#meta;
		if (history.lengthBytes < historyStart) {
			void this.#skip(historyStart);
		} else if (history.lengthBytes < this.#meta.historyBytes) {
			port.send(this.#from, {
				type: 'fetch-history',
				offset: history.lengthBytes,
				endOffset: this.#meta.historyBytes,
			});
		} else if (this.#receivedBytes < this.#meta.sizeBytes) {
			port.send(this.#from, {
				type: 'fetch-snapshot',
				index: this.#meta.index,
				offset: this.#receivedBytes,
			});
		} else {
			void this.#complete();
		}
	}

	/** Leaves out the history that the source has deleted. */
	async #skip(offset: number) {
		try {
			const {history} = this.#options;
			await history.flush();
			if (!this.#isEnding) {
				history.skipTo(offset);
				this.#ask();
			}
		} catch (error) {
			this.#options.port.fail(error);
		}
	}

	async #complete() {
		this.#isEnding = true;
		const {port, groupId, history, finish} = this.#options;
		this.bytes = Buffer.concat(this.#parts);
		this.#parts = [];
		try {
			// A newer snapshot was offered before the history of an older one was shortened.
			await history.truncate(this.#meta.historyBytes);
			await history.sync();
			await port.snapshots.save(groupId, this.#meta, this.bytes);
			finish(this.#meta);
			await history.deleteBefore(this.#meta.historyStart ?? 0);
		} catch (error) {
			if (isDiskFull(error)) {
				this.#isEnding = false;
				await this.#giveUp();
			} else {
				port.fail(error);
			}
		}
	}

	/** Shortens the history to what the applied entries have produced and ends the fetch. */
	async #giveUp() {
		if (this.#isEnding) {
			return;
		}

		this.#isEnding = true;
		const {port, history, finish} = this.#options;
		try {
			await history.truncate(this.#appliedHistoryBytes);
			finish(undefined);
		} catch (error) {
			port.fail(error);
		}
	}
}
