import path from 'node:path';
import {FileSystem, OpenFile} from './file-system.ts';
import {MemoryDisk, MemoryFile} from './memory-disk.ts';

/** Operations of a {@link MemoryFileSystem} that can fail or be delayed. */
export type FileOperation =
	'list' | 'open' | 'read' | 'remove' | 'rename' | 'sync' | 'write';

/** Options of a {@link MemoryFileSystem}. */
export type MemoryFileSystemOptions = {
	/** Called before each operation; a returned promise delays it, so that a crash can occur meanwhile. */
	delay?: (operation: FileOperation, file: string) => Promise<void> | undefined;
	/** Makes syncs of a file succeed without any effect, to prove that tests detect the lost data. */
	isSyncSkipped?: (file: string) => boolean;
};

const createFileError = (code: string, message: string) =>
	Object.assign(new Error(`${code}: ${message}`), {code});

/**
 * A file system in memory that simulates crashes: unsynced writes and names are lost.
 *
 * @example
 * ```ts
 * const disk = new MemoryFileSystem();
 * const log = await WriteAheadLog.open(disk, '/wal');
 * disk.crash(); // open handles stop working, and only synced data is left
 * ```
 */
export class MemoryFileSystem extends FileSystem {
	readonly #options: MemoryFileSystemOptions;
	readonly #disk: MemoryDisk;
	/** Set when this is the view of one process. */
	readonly #processNumber: number | undefined;

	constructor(
		options: MemoryFileSystemOptions = {},
		disk = new MemoryDisk(),
		processNumber?: number,
	) {
		super();
		this.#options = options;
		this.#disk = disk;
		this.#processNumber = processNumber;
	}

	/** Total bytes that the disk can hold; writes beyond it fail with `ENOSPC`. */
	get capacityBytes(): number {
		return this.#disk.capacityBytes;
	}

	set capacityBytes(value: number) {
		this.#disk.capacityBytes = value;
	}

	/** Sum of the sizes of all files. */
	get usedBytes(): number {
		return this.#disk.usedBytes;
	}

	/** A view whose operations all fail after the next crash or end of the process. */
	forProcess(): MemoryFileSystem {
		return new MemoryFileSystem(
			this.#options,
			this.#disk,
			this.#disk.processNumber,
		);
	}

	/** Makes the next operation of this kind fail with the error code, for example `EIO`. */
	failNext(operation: FileOperation, code = 'EIO'): void {
		this.#disk.failures.push({operation, code});
	}

	/** Removes the injected failures that have not occurred yet. */
	clearFailures(): void {
		this.#disk.failures = [];
	}

	/**
	 * Simulates a power loss: unsynced data is lost and open handles fail.
	 *
	 * @param chooseKeptCount - returns how many of the given number of unsynced changes or bytes reach
	 * the disk, in order; by default none. Called for bytes, it can tear a write.
	 */
	crash(chooseKeptCount: (count: number) => number = () => 0): void {
		this.#disk.crash(chooseKeptCount);
	}

	/** Ends the process that uses the disk: open handles fail, but the written data stays. */
	endProcess(): void {
		this.#disk.endProcess();
	}

	/** Empties the disk, as if it were replaced by a new one. */
	wipe(): void {
		this.#disk.endProcess();
		this.#disk.names.clear();
		this.#disk.durableNames.clear();
	}

	/** Changes one byte of a file on the disk, as bit rot does. */
	flipByte(file: string, position: number): void {
		const content = this.#disk.names.get(file);
		if (!content || position >= content.sizeBytes) {
			throw createFileError('ENOENT', `${file} has no byte ${position}`);
		}

		content.flipByte(position);
	}

	/** Names and sizes of all files. */
	describeFiles(): Array<{file: string; sizeBytes: number}> {
		return [...this.#disk.names].map(([file, {sizeBytes}]) => ({
			file,
			sizeBytes,
		}));
	}

	override async makeFolder(_folder: string) {
		// Folders exist implicitly.
	}

	override async list(folder: string) {
		await this.#beginOperation('list', folder);
		return [...this.#disk.names.keys()]
			.filter((name) => path.dirname(name) === folder)
			.map((name) => path.basename(name))
			.toSorted();
	}

	override async open(file: string): Promise<OpenFile> {
		await this.#beginOperation('open', file);
		let content = this.#disk.names.get(file);
		if (!content) {
			content = new MemoryFile();
			this.#disk.names.set(file, content);
		}

		return new MemoryOpenFile(content, {
			disk: this.#disk,
			beginOperation: this.#createBeginOperation(file),
			isSyncSkipped: () => this.#options.isSyncSkipped?.(file) ?? false,
		});
	}

	override async readFile(file: string) {
		await this.#beginOperation('read', file);
		const content = this.#disk.names.get(file);
		return content && Buffer.from(content.bytes);
	}

	override async rename(from: string, to: string) {
		await this.#beginOperation('rename', from);
		const content = this.#disk.names.get(from);
		if (!content) {
			throw createFileError('ENOENT', `${from} does not exist`);
		}

		this.#disk.names.delete(from);
		this.#disk.names.set(to, content);
	}

	override async remove(file: string) {
		await this.#beginOperation('remove', file);
		this.#disk.names.delete(file);
	}

	override async syncFolder(folder: string) {
		await this.#beginOperation('sync', folder);
		const {names, durableNames} = this.#disk;
		for (const name of durableNames.keys()) {
			if (path.dirname(name) === folder && !names.has(name)) {
				durableNames.delete(name);
			}
		}

		for (const [name, content] of names) {
			if (path.dirname(name) === folder) {
				durableNames.set(name, content);
			}
		}
	}

	#createBeginOperation(file: string) {
		const processNumber = this.#processNumber ?? this.#disk.processNumber;
		return async (operation: FileOperation) =>
			this.#beginOperation(operation, file, processNumber);
	}

	async #beginOperation(
		operation: FileOperation,
		file: string,
		processNumber = this.#processNumber ?? this.#disk.processNumber,
	) {
		await this.#options.delay?.(operation, file);
		if (processNumber !== this.#disk.processNumber) {
			throw createFileError(
				'EBADF',
				'the process that used the disk has ended',
			);
		}

		const {failures} = this.#disk;
		const position = failures.findIndex(
			(failure) => failure.operation === operation,
		);
		if (position !== -1) {
			const [failure] = failures.splice(position, 1);
			throw createFileError(failure!.code, `injected failure of ${operation}`);
		}
	}
}

/** What an open file needs of its file system. */
type OpenFileContext = {
	disk: MemoryDisk;
	/** Applies the delay, then throws when the process has ended or a failure is injected. */
	beginOperation: (operation: FileOperation) => Promise<void>;
	isSyncSkipped: () => boolean;
};

class MemoryOpenFile extends OpenFile {
	readonly #content: MemoryFile;
	readonly #context: OpenFileContext;

	constructor(content: MemoryFile, context: OpenFileContext) {
		super();
		this.#content = content;
		this.#context = context;
	}

	override async write(bytes: Uint8Array, position: number) {
		await this.#context.beginOperation('write');
		const {disk} = this.#context;
		const growthBytes = position + bytes.length - this.#content.sizeBytes;
		const excessBytes = growthBytes - (disk.capacityBytes - disk.usedBytes);
		const isFull = growthBytes > 0 && excessBytes > 0;
		const fittingBytes = isFull
			? Math.max(0, bytes.length - excessBytes)
			: bytes.length;
		if (fittingBytes > 0) {
			this.#content.change({
				position,
				bytes: Uint8Array.from(bytes.subarray(0, fittingBytes)),
			});
		}

		if (isFull) {
			throw createFileError('ENOSPC', 'no space left on the disk');
		}
	}

	override async read(position: number, lengthBytes: number) {
		await this.#context.beginOperation('read');
		return Buffer.from(
			this.#content.bytes.subarray(position, position + lengthBytes),
		);
	}

	override async sync() {
		await this.#context.beginOperation('sync');
		if (!this.#context.isSyncSkipped()) {
			this.#content.sync();
		}
	}

	override async truncate(sizeBytes: number) {
		await this.#context.beginOperation('write');
		this.#content.change({sizeBytes});
	}

	override async size() {
		return this.#content.sizeBytes;
	}

	override async close() {
		// There is no resource to release.
	}
}
