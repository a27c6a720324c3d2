// Node.js finds no named exports in this module.
import sonicBoom, {type SonicBoom} from 'sonic-boom';

/** How many lines of each kind were left out. */
export type DroppedLines = {routine: number; important: number};

export type BoundedWriterOptions = {
	/** Descriptor or path of the file. */
	destination: number | string;
	/** Bytes that may wait for a slow reader. */
	bufferSizeBytes: number;
	/** Formats the line that tells how many lines were left out. */
	describeDropped: (dropped: DroppedLines) => string;
};

/** Part of the buffer that routine lines may fill; the rest is kept for important ones. */
const ROUTINE_SHARE = 0.5;

/** Time for which routine lines are collected into one write: a write for each line costs more than the line. */
const COLLECT_MS = 200;

/** Time for the last lines to be written; the process must end all the same. */
const CLOSE_TIMEOUT_MS = 500;

/**
 * Writes lines without ever waiting for their reader. While the reader is too slow, lines are left out,
 * routine ones first; a line tells how many, once there is room again.
 *
 * @example
 * ```ts
 * const writer = await BoundedWriter.open({destination: 1, bufferSizeBytes: 262_144, describeDropped});
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

	/** Lines that were left out since the start. */
	readonly dropped: DroppedLines = {routine: 0, important: 0};
	readonly #file: SonicBoom;
	readonly #options: BoundedWriterOptions;
	readonly #reported: DroppedLines = {routine: 0, important: 0};
	#collected: string[] = [];
	#waitingBytes = 0;
	#timer: NodeJS.Timeout | undefined;
	#isBroken = false;

	private constructor(file: SonicBoom, options: BoundedWriterOptions) {
		this.#file = file;
		this.#options = options;
		file.removeAllListeners('error');
		file.on('write', (sizeBytes: number) => {
			this.#waitingBytes -= sizeBytes;
		});
		file.on('error', () => {
			// The reader is gone. There is no other place to say so; the counts of dropped lines do.
			this.#isBroken = true;
		});
	}

	/** @param line - ends with a line feed. */
	write(line: string, {isImportant}: {isImportant: boolean}): void {
		const {bufferSizeBytes} = this.#options;
		const limitBytes = bufferSizeBytes * (isImportant ? 1 : ROUTINE_SHARE);
		const sizeBytes = Buffer.byteLength(line);
		if (this.#isBroken || this.#waitingBytes + sizeBytes > limitBytes) {
			this.dropped[isImportant ? 'important' : 'routine']++;
			return;
		}

		this.#reportDropped();
		this.#collect(line, sizeBytes);
		if (isImportant) {
			this.#handOver();
		} else {
			this.#timer ??= setTimeout(() => {
				this.#handOver();
			}, COLLECT_MS);
		}
	}

	/** Writes what is waiting and closes the file; a reader that has stopped is not waited for. */
	async close(): Promise<void> {
		this.#handOver();
		await new Promise<void>((resolve) => {
			const timer = setTimeout(resolve, CLOSE_TIMEOUT_MS);
			const finish = () => {
				clearTimeout(timer);
				resolve();
			};

			this.#file.once('close', finish);
			this.#file.once('error', finish);
			this.#file.end();
		});
	}

	#collect(line: string, sizeBytes: number): void {
		this.#collected.push(line);
		this.#waitingBytes += sizeBytes;
	}

	#reportDropped(): void {
		const {dropped} = this;
		const routine = dropped.routine - this.#reported.routine;
		const important = dropped.important - this.#reported.important;
		if (routine + important > 0) {
			const line = this.#options.describeDropped({routine, important});
			Object.assign(this.#reported, dropped);
			this.#collect(line, Buffer.byteLength(line));
		}
	}

	#handOver(): void {
		clearTimeout(this.#timer);
		this.#timer = undefined;
		if (this.#collected.length > 0 && !this.#isBroken) {
			this.#file.write(this.#collected.join(''));
		}

		this.#collected = [];
	}
}
