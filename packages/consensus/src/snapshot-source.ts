import type {HistoryStream} from '@marjoramcove/storage';
import type {DiskId, GroupId} from '@marjoramcove/types';
import type {GroupPort} from './group-port.ts';
import type {ReplicaDescriptor} from './membership.ts';
import type {TransferMessage} from './peer-messages.ts';

/** Bytes of a snapshot or history that one message carries. */
export const CHUNK_BYTES = 256 * 1024;
/** A loaded snapshot is dropped when nobody asked for it during this time. */
const CACHE_MS = 10_000;

/** How much of the current snapshot and its history another replica has fetched. */
export type CopyProgress = {copiedBytes: number; totalBytes: number};

/** Answers the requests of replicas that copy a snapshot and the history. */
export class SnapshotSource {
	/** Last range that each disk asked for. */
	readonly progress = new Map<DiskId, CopyProgress>();
	readonly #port: GroupPort;
	readonly #groupId: GroupId;
	readonly #history: HistoryStream;
	#cached: {index: number; bytes: Uint8Array; usedAtMs: number} | undefined;

	constructor(port: GroupPort, groupId: GroupId, history: HistoryStream) {
		this.#port = port;
		this.#groupId = groupId;
		this.#history = history;
	}

	/** Sends the requested part. */
	answer(
		from: ReplicaDescriptor,
		request: Extract<
			TransferMessage,
			{type: 'fetch-history' | 'fetch-snapshot'}
		>,
	): void {
		void this.#answer(from, request);
	}

	/** Drops a snapshot that nobody asked for lately. */
	tick(): void {
		if (
			this.#cached &&
			this.#port.clock.nowMs() - this.#cached.usedAtMs > CACHE_MS
		) {
			this.#cached = undefined;
		}
	}

	async #answer(
		from: ReplicaDescriptor,
		request: Parameters<SnapshotSource['answer']>[1],
	) {
		try {
			await (request.type === 'fetch-history'
				? this.#answerHistory(from, request)
				: this.#answerSnapshot(from, request));
		} catch (error) {
			this.#port.report('snapshot-read-failed', {
				groupId: this.#groupId,
				error: String(error),
			});
		}
	}

	async #answerHistory(
		from: ReplicaDescriptor,
		request: Extract<TransferMessage, {type: 'fetch-history'}>,
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
		this.#port.send(from, {type: 'history-chunk', offset, bytes});
	}

	async #answerSnapshot(
		from: ReplicaDescriptor,
		request: Extract<TransferMessage, {type: 'fetch-snapshot'}>,
	) {
		const {index, offset} = request;
		const bytes = await this.#load(index);
		const historyBytes = this.progress.get(from.diskId)?.totalBytes ?? 0;
		this.progress.set(from.diskId, {
			copiedBytes: historyBytes + offset,
			totalBytes: historyBytes + (bytes?.length ?? 0),
		});
		this.#port.send(from, {
			type: 'snapshot-chunk',
			index,
			offset,
			isKept: bytes !== undefined,
			bytes: bytes?.subarray(offset, offset + CHUNK_BYTES) ?? new Uint8Array(),
		});
	}

	async #load(index: number) {
		if (this.#cached?.index !== index) {
			const stored = await this.#port.snapshots.load(this.#groupId, index);
			if (!stored) {
				return undefined;
			}

			this.#cached = {index, bytes: stored.bytes, usedAtMs: 0};
		}

		this.#cached.usedAtMs = this.#port.clock.nowMs();
		return this.#cached.bytes;
	}
}
