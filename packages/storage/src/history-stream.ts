import path from 'node:path';
import {
	assertInvariant,
	DataCorruptionError,
	ValidationError,
} from '@marjoramcove/errors';
import {type FileSystem, isDiskFull, type OpenFile} from './file-system.ts';

/** Options of a {@link HistoryStream}. */
export type HistoryStreamOptions = {
	/** A new segment begins when the current one has reached this size. Default 64 MiB. */
	segmentSizeBytes?: number;
	/** Waits before bytes are written again after the disk was full. */
	waitForSpace?: () => Promise<void>;
	/** Called after a failed background write; the stream is unusable afterwards. */
	onFailure?: (error: unknown) => void;
	/** First offset that is still referenced; segments that end before it are deleted. Default 0. */
	startOffset?: number;
};

type Segment = {start: number; file: OpenFile};

const SEGMENT_PATTERN = /^history-(\d{16})\.bytes$/u;
const DISK_FULL_RETRY_MS = 500;

const segmentName = (start: number) =>
	`history-${String(start).padStart(16, '0')}.bytes`;

const waitForRetry = async () =>
	new Promise<void>((resolve) => {
		setTimeout(resolve, DISK_FULL_RETRY_MS).unref();
	});

/**
 * An append-only stream of bytes with logical offsets, stored in segment files.
 *
 * Appended bytes are written in the background and are durable after {@link HistoryStream.sync}. The
 * stream stores no checksums: its reader keeps the offset, length and hash of each entry.
 *
 * @example
 * ```ts
 * const stream = await HistoryStream.open(fileSystem, '/data/history/shard-0');
 * const offset = stream.append(Buffer.from('hello'));
 * await stream.sync();
 * const bytes = await stream.read(offset, 5);
 * ```
 */
export class HistoryStream {
	/**
	 * Opens the stream. Its length follows from the sizes of the segment files.
	 *
	 * @throws DataCorruptionError when a segment in the middle is shorter than its range.
	 */
	static async open(
		fileSystem: FileSystem,
		folder: string,
		options: HistoryStreamOptions = {},
	): Promise<HistoryStream> {
		await fileSystem.makeFolder(folder);
		const {startOffset = 0} = options;
		const names = await fileSystem.list(folder);
		const starts = names
			.map((name) => Number(SEGMENT_PATTERN.exec(name)?.[1]))
			.filter((start) => Number.isSafeInteger(start));
		const firstStart = starts.findLast((start) => start <= startOffset) ?? 0;
		const segments: Segment[] = [];
		let end = firstStart;
		for (const start of starts) {
			const file = path.join(folder, segmentName(start));
			// Segments before `firstStart` were deleted, but a crash undid the deletion. A later gap means
			// that a segment was not synced; the segments after it are lost too.
			if (start < firstStart || start !== end) {
				await fileSystem.remove(file);
				continue;
			}

			const opened = await fileSystem.open(file);
			segments.push({start, file: opened});
			end = start + (await opened.size());
		}

		const stream = new HistoryStream(
			{fileSystem, folder, segments, end},
			options,
		);
		// The history of a copied snapshot can start after the end of the local segments.
		stream.skipTo(startOffset);
		await stream.deleteBefore(startOffset);
		return stream;
	}

	readonly #fileSystem: FileSystem;
	readonly #folder: string;
	readonly #segmentSizeBytes: number;
	readonly #waitForSpace: () => Promise<void>;
	readonly #onFailure: (error: unknown) => void;
	#segments: Segment[];
	/** End of the bytes that have been written to the file system. */
	#writtenBytes: number;
	#lengthBytes: number;
	#buffered: Uint8Array[] = [];
	readonly #unsynced = new Set<OpenFile>();
	#writing: Promise<void> | undefined;
	#failure: unknown;
	#isClosed = false;
	/** Whether there is a gap between the end of the last segment and the next byte. */
	#isAfterGap = false;
	#reclaimedBytes = 0;

	private constructor(
		opened: {
			fileSystem: FileSystem;
			folder: string;
			segments: Segment[];
			end: number;
		},
		options: HistoryStreamOptions,
	) {
		this.#fileSystem = opened.fileSystem;
		this.#folder = opened.folder;
		this.#segments = opened.segments;
		this.#writtenBytes = opened.end;
		this.#lengthBytes = opened.end;
		this.#segmentSizeBytes = options.segmentSizeBytes ?? 64 * 1024 * 1024;
		this.#waitForSpace = options.waitForSpace ?? waitForRetry;
		this.#onFailure = options.onFailure ?? (() => undefined);
	}

	/** Logical length, including bytes that are not written yet. */
	get lengthBytes(): number {
		return this.#lengthBytes;
	}

	/** First logical offset that is stored. */
	get startOffset(): number {
		return this.#segments[0]?.start ?? this.#writtenBytes;
	}

	/** Bytes of deleted segments since the stream was opened. */
	get reclaimedBytes(): number {
		return this.#reclaimedBytes;
	}

	/** Appends bytes and returns their logical offset. The caller must not change them afterwards. */
	append(bytes: Uint8Array): number {
		const offset = this.#lengthBytes;
		if (bytes.length > 0) {
			this.#lengthBytes += bytes.length;
			this.#buffered.push(bytes);
			this.#writing ??= this.#writeBuffered();
		}

		return offset;
	}

	/** Makes all bytes appended so far durable. */
	async sync(): Promise<void> {
		await this.#flush();
		const files = [...this.#unsynced];
		this.#unsynced.clear();
		for (const file of files) {
			try {
				await file.sync();
			} catch (error) {
				this.#failure = error;
				throw error;
			}
		}
	}

	/**
	 * Reads a range.
	 *
	 * @throws ValidationError when the range is outside the stream.
	 */
	async read(offset: number, lengthBytes: number): Promise<Uint8Array> {
		if (
			offset < this.startOffset ||
			lengthBytes < 0 ||
			offset + lengthBytes > this.#lengthBytes
		) {
			throw new ValidationError(
				`The range ${offset}+${lengthBytes} is outside the history from ${this.startOffset} to ${this.#lengthBytes}.`,
				'Read a range that a history entry refers to.',
			);
		}

		if (offset + lengthBytes > this.#writtenBytes) {
			await this.#flush();
		}

		const parts: Uint8Array[] = [];
		let position = offset;
		const end = offset + lengthBytes;
		while (position < end) {
			const part = await this.#readPart(position, end);
			parts.push(part);
			position += part.length;
		}

		return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
	}

	/**
	 * Removes all bytes from the logical offset on.
	 *
	 * @throws DataCorruptionError when the stream ends before the offset.
	 */
	async truncate(lengthBytes: number): Promise<void> {
		await this.#flush();
		if (lengthBytes > this.#lengthBytes) {
			throw new DataCorruptionError(
				path.join(this.#folder, segmentName(this.#segments.at(-1)?.start ?? 0)),
				this.#lengthBytes,
				`the history ends before offset ${lengthBytes}, which a snapshot refers to`,
			);
		}

		while (this.#segments.length > 0) {
			const last = this.#segments.at(-1)!;
			if (last.start < lengthBytes) {
				const sizeBytes = await last.file.size();
				if (last.start + sizeBytes > lengthBytes) {
					await last.file.truncate(lengthBytes - last.start);
				}

				this.#isAfterGap = last.start + sizeBytes < lengthBytes;
				this.#unsynced.add(last.file);
				break;
			}

			await last.file.close();
			this.#unsynced.delete(last.file);
			await this.#fileSystem.remove(
				path.join(this.#folder, segmentName(last.start)),
			);
			this.#segments.pop();
		}

		await this.#fileSystem.syncFolder(this.#folder);
		this.#lengthBytes = lengthBytes;
		this.#writtenBytes = lengthBytes;
	}

	/** Waits until all bytes appended so far are written to the file system; they are not synced. */
	async flush(): Promise<void> {
		await this.#flush();
	}

	/**
	 * Continues at a later offset; the skipped bytes are never stored in this stream. All bytes appended
	 * so far must have been flushed.
	 */
	skipTo(offset: number): void {
		assertInvariant(
			this.#lengthBytes === this.#writtenBytes,
			'history-flushed-before-skip',
			{offset},
		);
		if (offset > this.#lengthBytes) {
			this.#lengthBytes = offset;
			this.#writtenBytes = offset;
			this.#isAfterGap = true;
		}
	}

	/**
	 * Deletes the segments that end at or before the offset. The last segment is kept unless the stream
	 * has skipped past its end.
	 */
	async deleteBefore(offset: number): Promise<void> {
		await this.#flush();
		let isDeleted = false;
		while (this.#segments.length > 0 && this.#firstSegmentEnd() <= offset) {
			const {start, file} = this.#segments.shift()!;
			this.#unsynced.delete(file);
			this.#reclaimedBytes += await file.size();
			await file.close();
			await this.#fileSystem.remove(
				path.join(this.#folder, segmentName(start)),
			);
			isDeleted = true;
		}

		if (isDeleted) {
			await this.#fileSystem.syncFolder(this.#folder);
		}
	}

	/** Writes the buffered bytes and closes the files. */
	async close(): Promise<void> {
		this.#isClosed = true;
		await this.#writing;
		for (const segment of this.#segments) {
			await segment.file.close();
		}

		this.#segments = [];
	}

	async #flush() {
		while (this.#writing) {
			await this.#writing;
		}

		if (this.#failure) {
			throw this.#failure as Error;
		}
	}

	/** Final end of the first segment; infinite while it is the last one and may still grow. */
	#firstSegmentEnd(): number {
		const isOpen = this.#segments.length === 1 && !this.#isAfterGap;
		return isOpen
			? Number.POSITIVE_INFINITY
			: (this.#segments[1]?.start ?? this.#writtenBytes);
	}

	async #readPart(position: number, end: number) {
		const segment = this.#segments.findLast(({start}) => start <= position)!;
		const next = this.#segments.find(({start}) => start > position);
		const partEnd = Math.min(end, next?.start ?? end);
		const part = await segment.file.read(
			position - segment.start,
			partEnd - position,
		);
		if (part.length < partEnd - position) {
			throw new DataCorruptionError(
				path.join(this.#folder, segmentName(segment.start)),
				position - segment.start + part.length,
				'the segment is shorter than its range',
			);
		}

		return part;
	}

	async #writeBuffered() {
		await Promise.resolve();
		while (this.#buffered.length > 0 && !this.#failure) {
			const chunks = this.#buffered;
			this.#buffered = [];
			const bytes = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
			try {
				await this.#write(bytes);
				this.#writtenBytes += bytes.length;
			} catch (error) {
				this.#failure = error;
				this.#onFailure(error);
			}
		}

		this.#writing = undefined;
	}

	async #write(bytes: Uint8Array) {
		for (;;) {
			try {
				const segment = await this.#openSegment();
				await segment.file.write(bytes, this.#writtenBytes - segment.start);
				this.#unsynced.add(segment.file);
				return;
			} catch (error) {
				if (!isDiskFull(error) || this.#isClosed) {
					throw error;
				}

				await this.#waitForSpace();
			}
		}
	}

	async #openSegment() {
		const last = this.#segments.at(-1);
		if (
			last &&
			!this.#isAfterGap &&
			this.#writtenBytes - last.start < this.#segmentSizeBytes
		) {
			return last;
		}

		const start = this.#writtenBytes;
		const file = await this.#fileSystem.open(
			path.join(this.#folder, segmentName(start)),
		);
		await this.#fileSystem.syncFolder(this.#folder);
		const segment = {start, file};
		this.#segments.push(segment);
		this.#isAfterGap = false;
		return segment;
	}
}
