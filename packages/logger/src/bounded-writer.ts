// Node.js finds no named exports in this module.
import sonicBoom, {type SonicBoom} from 'sonic-boom';

/** Number of dropped lines of each kind. */
export type DroppedLines = {routine: number; important: number};

/** Options of a {@link BoundedWriter}. */
export type BoundedWriterOptions = {
	/** Descriptor or path of the file. */
	destination: number | string;
	/** Maximum bytes that are buffered while the reader is slow. */
	bufferSizeBytes: number;
	/** Formats the line that reports the number of dropped lines. */
	formatDropped: (dropped: DroppedLines) => string;
};

/** Part of the buffer that routine lines may fill; the rest is reserved for important lines. */
const ROUTINE_SHARE = 0.5;

/** Time for which routine lines are batched into one write: a write per line costs more than the line itself. */
const BATCH_MS = 200;

/** Time limit for writing the last lines; the process must exit even when they cannot be written. */
const CLOSE_TIMEOUT_MS = 500;

/**
 * Writes lines without blocking on their reader. While the reader is too slow, lines are dropped, routine
 * lines first. Once there is space again, a line reports how many were dropped.
 *
 * @example
 * ```ts
 * const writer = await BoundedWriter.open({destination: 1, bufferSizeBytes: 262_144, formatDropped});
 * writer.write('event=daemon-ready\n', {isImportant: false});
 * await writer.close();
 * ```
 */
export class BoundedWriter {
	/** @throws Error when the file cannot be opened. */
	static async open(options: BoundedWriterOptions): Promise<BoundedWriter> {
		const {destination} = options;
		const file = new sonicBoom.SonicBoom(
			typeof destination === 'number'
				? {fd: destination, sync: false}
				: {dest: destination, sync: false},
		);
		await new Promise<void>((resolve, reject) => {
			file.once('ready', resolve);
			file.once('error', reject);
		});
		return new BoundedWriter(file, options);
	}

	/** Lines that were dropped since the start. */
	readonly dropped: DroppedLines = {routine: 0, important: 0};
	readonly #file: SonicBoom;
	readonly #options: BoundedWriterOptions;
	readonly #reported: DroppedLines = {routine: 0, important: 0};
	#batch: string[] = [];
	#pendingBytes = 0;
	#timer: NodeJS.Timeout | undefined;
	#hasFailed = false;

	private constructor(file: SonicBoom, options: BoundedWriterOptions) {
		this.#file = file;
		this.#options = options;
		file.removeAllListeners('error');
		file.on('write', (sizeBytes: number) => {
			this.#pendingBytes -= sizeBytes;
		});
		file.on('error', () => {
			// The reader is gone. There is no other place to report it, but the counts of dropped lines show it.
			this.#hasFailed = true;
		});
	}

	/** @param line - ends with a line feed. */
	write(line: string, {isImportant}: {isImportant: boolean}): void {
		const {bufferSizeBytes} = this.#options;
		const limitBytes = bufferSizeBytes * (isImportant ? 1 : ROUTINE_SHARE);
		const sizeBytes = Buffer.byteLength(line);
		if (this.#hasFailed || this.#pendingBytes + sizeBytes > limitBytes) {
			this.dropped[isImportant ? 'important' : 'routine']++;
			return;
		}

		this.#reportDropped();
		this.#addToBatch(line, sizeBytes);
		if (isImportant) {
			this.#writeBatch();
		} else {
			this.#timer ??= setTimeout(() => {
				this.#writeBatch();
			}, BATCH_MS);
		}
	}

	/**
	 * Writes the buffered lines and closes the file; does not wait for a reader that has stopped.
	 *
	 * @returns `false` if a write may still be in progress. `process.exit` waits for it without a limit.
	 */
	async close(): Promise<boolean> {
		this.#writeBatch();
		return new Promise<boolean>((resolve) => {
			const timer = setTimeout(() => {
				resolve(false);
			}, CLOSE_TIMEOUT_MS);
			const finish = () => {
				clearTimeout(timer);
				resolve(true);
			};

			this.#file.once('close', finish);
			this.#file.once('error', finish);
			this.#file.end();
		});
	}

	#addToBatch(line: string, sizeBytes: number): void {
		this.#batch.push(line);
		this.#pendingBytes += sizeBytes;
	}

	#reportDropped(): void {
		const {dropped} = this;
		const routine = dropped.routine - this.#reported.routine;
		const important = dropped.important - this.#reported.important;
		if (routine + important > 0) {
			const line = this.#options.formatDropped({routine, important});
			Object.assign(this.#reported, dropped);
			this.#addToBatch(line, Buffer.byteLength(line));
		}
	}

	#writeBatch(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		if (this.#batch.length > 0 && !this.#hasFailed) {
			this.#file.write(this.#batch.join(''));
		}

		this.#batch = [];
	}
}
