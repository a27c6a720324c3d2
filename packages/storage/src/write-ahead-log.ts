import path from 'node:path';
import {DataCorruptionError, MarjoramcoveError} from '@marjoramcove/errors';
import {loadChecksum} from './checksum.ts';
import {type FileSystem, isDiskFull, type OpenFile} from './file-system.ts';
import {encodeFrames, type LogRecord, MAX_FRAME_BODY_BYTES} from './frame.ts';
import {recoverSegment} from './recover-segment.ts';
import {writeFileDurably} from './write-file-durably.ts';

/** Options of a {@link WriteAheadLog}. */
export type WriteAheadLogOptions = {
	/** A new segment begins when the current one has reached this size. Default 16 MiB. */
	segmentSizeBytes?: number;
	/** Waits before a batch is written again after the disk was full. */
	waitForSpace?: () => Promise<void>;
	/** Called with `true` when a write fails because the disk is full, and with `false` after the next success. */
	onDiskFull?: (isFull: boolean) => void;
};

type PendingAppend = {
	records: readonly LogRecord[];
	resolve: (segment: number) => void;
	reject: (error: unknown) => void;
};

const SEGMENT_PATTERN = /^wal-(\d{12})\.log$/u;
/** Upper bound of one write, so that one batch cannot take unbounded memory. */
const MAX_BATCH_BYTES = 8 * 1024 * 1024;
const DISK_FULL_RETRY_MS = 500;

const segmentName = (segment: number) =>
	`wal-${String(segment).padStart(12, '0')}.log`;

const waitForRetry = async () =>
	new Promise<void>((resolve) => {
		setTimeout(resolve, DISK_FULL_RETRY_MS).unref();
	});

/**
 * A sequence of log files shared by all groups of one disk.
 *
 * All records that arrive while a sync runs are written and synced together by the next one. Call
 * {@link WriteAheadLog.recover} once before the first append.
 *
 * @example
 * ```ts
 * const log = await WriteAheadLog.open(new NodeFileSystem(), '/data/wal');
 * await log.recover((record) => { replay(record); });
 * await log.append([{group: 'config', kind: 1, payload}]);
 * ```
 */
export class WriteAheadLog {
	/**
	 * Opens the log without reading it.
	 *
	 * @throws DataCorruptionError when a segment between the first and the last is missing.
	 */
	static async open(
		fileSystem: FileSystem,
		folder: string,
		options: WriteAheadLogOptions = {},
	): Promise<WriteAheadLog> {
		await loadChecksum();
		await fileSystem.makeFolder(folder);
		const segments: number[] = [];
		for (const name of await fileSystem.list(folder)) {
			const match = SEGMENT_PATTERN.exec(name);
			if (match) {
				segments.push(Number(match[1]));
			}
		}

		segments.sort((a, b) => a - b);
		for (const [position, segment] of segments.entries()) {
			if (segment !== segments[0]! + position) {
				throw new DataCorruptionError(
					path.join(folder, segmentName(segment - 1)),
					0,
					'the segment is missing',
				);
			}
		}

		return new WriteAheadLog(fileSystem, folder, segments, options);
	}

	readonly #fileSystem: FileSystem;
	readonly #folder: string;
	readonly #segments: number[];
	readonly #segmentSizeBytes: number;
	readonly #waitForSpace: () => Promise<void>;
	readonly #onDiskFull: (isFull: boolean) => void;
	#file: OpenFile | undefined;
	#position = 0;
	#queue: PendingAppend[] = [];
	#writing: Promise<void> | undefined;
	#failure: MarjoramcoveError | undefined;
	#isDiskFull = false;
	#isClosed = false;

	private constructor(
		fileSystem: FileSystem,
		folder: string,
		segments: number[],
		options: WriteAheadLogOptions,
	) {
		this.#fileSystem = fileSystem;
		this.#folder = folder;
		this.#segments = segments;
		this.#segmentSizeBytes = options.segmentSizeBytes ?? 16 * 1024 * 1024;
		this.#waitForSpace = options.waitForSpace ?? waitForRetry;
		this.#onDiskFull = options.onDiskFull ?? (() => undefined);
	}

	/** Number of the segment that receives the next record. */
	get currentSegment(): number {
		return this.#segments.at(-1) ?? 1;
	}

	/** Number of the oldest segment that still exists. */
	get firstSegment(): number {
		return this.#segments[0] ?? 1;
	}

	/**
	 * Reads all records in order, then removes a torn tail and makes the remaining records durable.
	 *
	 * The payload is a view of a larger buffer: copy it to keep it.
	 *
	 * @throws DataCorruptionError on damage before the tail.
	 */
	async recover(
		visit: (record: LogRecord, segment: number) => void,
	): Promise<void> {
		const last = this.#segments.at(-1);
		for (const segment of this.#segments) {
			const file = this.#pathOf(segment);
			const bytes = await this.#fileSystem.readFile(file);
			const validBytes = recoverSegment(
				file,
				bytes ?? new Uint8Array(),
				segment === last,
				(record) => {
					visit(record, segment);
				},
			);
			if (segment === last) {
				await this.#rewriteLastSegment(bytes!.subarray(0, validBytes));
			}
		}
	}

	/**
	 * Appends records and resolves with the number of their segment after they are durable.
	 * Records of one call, and of consecutive calls, keep their order.
	 *
	 * @throws MarjoramcoveError with reason `log-failed` (may-have-run) after a failed write or sync;
	 * the log accepts nothing afterwards.
	 */
	async append(records: readonly LogRecord[]): Promise<number> {
		if (this.#failure) {
			throw this.#failure;
		}

		return new Promise((resolve, reject) => {
			this.#queue.push({records, resolve, reject});
			this.#writing ??= this.#writeQueue();
		});
	}

	/** Deletes the segments whose number is lower than `segment`. The current segment stays. */
	async truncatePrefix(segment: number): Promise<void> {
		while (this.#segments.length > 1 && this.#segments[0]! < segment) {
			await this.#fileSystem.remove(this.#pathOf(this.#segments[0]!));
			this.#segments.shift();
			// Removals must become durable in order: a crash must not bring back an earlier segment without
			// the later ones.
			await this.#fileSystem.syncFolder(this.#folder);
		}
	}

	/** Waits for pending appends and closes the file. */
	async close(): Promise<void> {
		this.#isClosed = true;
		await this.#writing;
		await this.#file?.close();
		this.#file = undefined;
		this.#failure ??= createLogFailure(new Error('the log is closed'));
	}

	#pathOf(segment: number) {
		return path.join(this.#folder, segmentName(segment));
	}

	/**
	 * After a failed sync the page cache may hold data that never reached the disk and that a later sync
	 * does not write again. Rewriting the segment makes all records that were read durable.
	 */
	async #rewriteLastSegment(bytes: Uint8Array) {
		const file = this.#pathOf(this.currentSegment);
		await writeFileDurably(this.#fileSystem, file, bytes);
		this.#file = await this.#fileSystem.open(file);
		this.#position = bytes.length;
	}

	async #writeQueue() {
		// Waits one microtask, so that records appended by the same synchronous code join the batch.
		await Promise.resolve();
		while (this.#queue.length > 0 && !this.#failure) {
			const batch = this.#takeBatch();
			try {
				await this.#writeBatch(batch);
			} catch (error) {
				this.#fail(error, batch);
			}
		}

		this.#writing = undefined;
	}

	#takeBatch() {
		let sizeBytes = 0;
		let count = 0;
		while (count < this.#queue.length && sizeBytes < MAX_BATCH_BYTES) {
			for (const record of this.#queue[count]!.records) {
				sizeBytes += record.payload.length;
			}

			count += 1;
		}

		return this.#queue.splice(0, count);
	}

	async #writeBatch(batch: PendingAppend[]) {
		const records = batch.flatMap((pending) => pending.records);
		// The 300 bytes are room for the other fields of the frame body: kind, group length and group.
		if (
			records.some(
				(record) => record.payload.length > MAX_FRAME_BODY_BYTES - 300,
			)
		) {
			throw new RangeError('a record exceeds the maximum frame size');
		}

		if (records.length === 0) {
			for (const pending of batch) {
				pending.resolve(this.currentSegment);
			}

			return;
		}

		const bytes = encodeFrames(records);
		for (;;) {
			try {
				await this.#openSegment();
				await this.#file!.write(bytes, this.#position);
				break;
			} catch (error) {
				if (!isDiskFull(error) || this.#isClosed) {
					throw error;
				}

				this.#setDiskFull(true);
				await this.#waitForSpace();
			}
		}

		await this.#file!.sync();
		this.#position += bytes.length;
		this.#setDiskFull(false);
		for (const pending of batch) {
			pending.resolve(this.currentSegment);
		}
	}

	async #openSegment() {
		if (this.#file && this.#position < this.#segmentSizeBytes) {
			return;
		}

		const segment = (this.#segments.at(-1) ?? 0) + 1;
		const file = await this.#fileSystem.open(this.#pathOf(segment));
		await this.#fileSystem.syncFolder(this.#folder);
		await this.#file?.close();
		this.#segments.push(segment);
		this.#file = file;
		this.#position = 0;
	}

	#setDiskFull(isFull: boolean) {
		if (this.#isDiskFull !== isFull) {
			this.#isDiskFull = isFull;
			this.#onDiskFull(isFull);
		}
	}

	#fail(error: unknown, batch: PendingAppend[]) {
		this.#failure = createLogFailure(error);
		for (const pending of [...batch, ...this.#queue]) {
			pending.reject(this.#failure);
		}

		this.#queue = [];
	}
}

const createLogFailure = (cause: unknown) =>
	new MarjoramcoveError(
		`The write-ahead log failed: ${cause instanceof Error ? cause.message : String(cause)}.`,
		{
			reason: 'log-failed',
			verdict: 'may-have-run',
			hint: 'Check the disk. The process must restart before it uses the log again.',
			cause,
		},
	);
