import type {HistoryStream} from '@marjoramcove/storage';
import type {DiskId, GroupId} from '@marjoramcove/types';
import type {GroupHost} from './group-host.ts';
import type {ReplicaDescriptor} from './membership.ts';
import type {SnapshotTransferMessage} from './peer-messages.ts';

/** Maximum bytes of a snapshot or history in one message. */
export const CHUNK_BYTES = 256 * 1024;
/** A loaded snapshot is dropped from memory when it was not requested for this time. */
const CACHE_TTL_MS = 10_000;

/** How much of the snapshot and its history another replica has copied. */
export type CopyProgress = {copiedBytes: number; totalBytes: number};

/** Serves snapshot and history chunks to other replicas. */
export class SnapshotSource {
	/** Progress according to the last request of each disk. */
	readonly progress = new Map<DiskId, CopyProgress>();
	readonly #host: GroupHost;
	readonly #groupId: GroupId;
	readonly #history: HistoryStream;
	#cachedSnapshot:
		{index: number; bytes: Uint8Array; usedAtMs: number} | undefined;

	constructor(host: GroupHost, groupId: GroupId, history: HistoryStream) {
		this.#host = host;
		this.#groupId = groupId;
		this.#history = history;
	}

	/** Sends the requested chunk. */
	answer(
		from: ReplicaDescriptor,
		request: Extract<
			SnapshotTransferMessage,
			{type: 'fetch-history' | 'fetch-snapshot'}
		>,
	): void {
		void this.#handleRequest(from, request);
	}

	/** Drops a loaded snapshot that was not requested recently. */
	tick(): void {
		if (
			this.#cachedSnapshot &&
			this.#host.clock.nowMs() - this.#cachedSnapshot.usedAtMs > CACHE_TTL_MS
		) {
			this.#cachedSnapshot = undefined;
		}
	}

	async #handleRequest(
		from: ReplicaDescriptor,
		request: Parameters<SnapshotSource['answer']>[1],
	) {
		try {
			await (request.type === 'fetch-history'
				? this.#sendHistoryChunk(from, request)
				: this.#sendSnapshotChunk(from, request));
		} catch (error) {
			this.#host.report('snapshot-read-failed', {
				groupId: this.#groupId,
				error: String(error),
			});
		}
	}

	async #sendHistoryChunk(
		from: ReplicaDescriptor,
		request: Extract<SnapshotTransferMessage, {type: 'fetch-history'}>,
	) {
		const {offset, endOffset} = request;
		const end = Math.min(
			endOffset,
			offset + CHUNK_BYTES,
			this.#history.lengthBytes,
		);
		this.progress.set(from.diskId, {
			copiedBytes: offset,
			totalBytes: endOffset,
		});
		const bytes = await this.#history.read(offset, Math.max(0, end - offset));
		this.#host.send(from, {type: 'history-chunk', offset, bytes});
	}

	async #sendSnapshotChunk(
		from: ReplicaDescriptor,
		request: Extract<SnapshotTransferMessage, {type: 'fetch-snapshot'}>,
	) {
		const {index, offset} = request;
		const bytes = await this.#loadSnapshot(index);
		const historyBytes = this.progress.get(from.diskId)?.totalBytes ?? 0;
		this.progress.set(from.diskId, {
			copiedBytes: historyBytes + offset,
			totalBytes: historyBytes + (bytes?.length ?? 0),
		});
		this.#host.send(from, {
			type: 'snapshot-chunk',
			index,
			offset,
			isKept: bytes !== undefined,
			bytes: bytes?.subarray(offset, offset + CHUNK_BYTES) ?? new Uint8Array(),
		});
	}

	async #loadSnapshot(index: number) {
		if (this.#cachedSnapshot?.index !== index) {
			const stored = await this.#host.snapshots.load(this.#groupId, index);
			if (!stored) {
				return undefined;
			}

			this.#cachedSnapshot = {index, bytes: stored.bytes, usedAtMs: 0};
		}

		this.#cachedSnapshot.usedAtMs = this.#host.clock.nowMs();
		return this.#cachedSnapshot.bytes;
	}
}
