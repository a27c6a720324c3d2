import path from 'node:path';
import {FileSystem, OpenFile} from './file-system.ts';
import {MemoryDisk, MemoryFile} from './memory-disk.ts';

/** Operations of a {@link MemoryFileSystem} that can fail or be delayed. */
export type FileOperation =
	'list' | 'open' | 'read' | 'remove' | 'rename' | 'sync' | 'write';

/** Settings of a {@link MemoryFileSystem}. */
export type MemoryFileSystemOptions = {
	/** Called before each operation; a returned promise delays it, so that a crash can hit it midway. */
	delay?: (operation: FileOperation, file: string) => Promise<void> | undefined;
	/** Lets the sync of a file report success without doing anything, to prove that checks notice it. */
	isSyncSkipped?: (file: string) => boolean;
};

const fileError = (code: string, message: string) =>
	Object.assign(new Error(`${code}: ${message}`), {code});

/**
 * A file system in memory that behaves like a disk in a crash: unsynced writes and names are lost.
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
	readonly #process: number | undefined;

	constructor(
		options: MemoryFileSystemOptions = {},
		disk = new MemoryDisk(),
		process?: number,
	) {
		super();
		this.#options = options;
		this.#disk = disk;
		this.#process = process;
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
		return new MemoryFileSystem(this.#options, this.#disk, this.#disk.process);
	}

	/** Lets the next operation of this kind fail with the error code, for example `EIO`. */
	failNext(operation: FileOperation, code = 'EIO'): void {
		this.#disk.failures.push({operation, code});
	}

	/** Withdraws the failures that have not happened yet. */
	clearFailures(): void {
		this.#disk.failures = [];
	}

	/**
	 * Loses the power: unsynced data is gone and open handles fail.
	 *
	 * @param chooseKept - given the number of unsynced changes or bytes, how many of the first ones
	 * reach the disk; by default none. A partly kept write is torn.
	 */
	crash(chooseKept: (count: number) => number = () => 0): void {
		this.#disk.crash(chooseKept);
	}

	/** Ends the process that uses the disk: open handles fail, but the written data stays. */
	endProcess(): void {
		this.#disk.endProcess();
	}

	/** Empties the disk, as when it is replaced by a new one. */
	wipe(): void {
		this.#disk.endProcess();
		this.#disk.names.clear();
		this.#disk.durableNames.clear();
	}

	/** Changes one byte of a file on the disk, as bit rot does. */
	flipByte(file: string, position: number): void {
		const content = this.#disk.names.get(file);
		if (!content || position >= content.sizeBytes) {
			throw fileError('ENOENT', `${file} has no byte ${position}`);
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
		await this.#start('list', folder);
		return [...this.#disk.names.keys()]
			.filter((name) => path.dirname(name) === folder)
			.map((name) => path.basename(name))
			.toSorted();
	}

	override async open(file: string): Promise<OpenFile> {
		await this.#start('open', file);
		let content = this.#disk.names.get(file);
		if (!content) {
			content = new MemoryFile();
			this.#disk.names.set(file, content);
		}

		return new MemoryOpenFile(content, {
			disk: this.#disk,
			start: this.#bindStart(file),
			isSyncSkipped: () => this.#options.isSyncSkipped?.(file) ?? false,
		});
	}

	override async readFile(file: string) {
		await this.#start('read', file);
		const content = this.#disk.names.get(file);
		return content && Buffer.from(content.bytes);
	}

	override async rename(from: string, to: string) {
		await this.#start('rename', from);
		const content = this.#disk.names.get(from);
		if (!content) {
			throw fileError('ENOENT', `${from} does not exist`);
		}

		this.#disk.names.delete(from);
		this.#disk.names.set(to, content);
	}

	override async remove(file: string) {
		await this.#start('remove', file);
		this.#disk.names.delete(file);
	}

	override async syncFolder(folder: string) {
		await this.#start('sync', folder);
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

	#bindStart(file: string) {
		const process = this.#process ?? this.#disk.process;
		return async (operation: FileOperation) =>
			this.#start(operation, file, process);
	}

	async #start(
		operation: FileOperation,
		file: string,
		process = this.#process ?? this.#disk.process,
	) {
		await this.#options.delay?.(operation, file);
		if (process !== this.#disk.process) {
			throw fileError('EBADF', 'the process that used the disk has ended');
		}

		const {failures} = this.#disk;
		const position = failures.findIndex(
			(failure) => failure.operation === operation,
		);
		if (position !== -1) {
			const [failure] = failures.splice(position, 1);
			throw fileError(failure!.code, `injected failure of ${operation}`);
		}
	}
}

type MemoryHandle = {
	disk: MemoryDisk;
	/** Delays the operation and fails when the process has ended. */
	start: (operation: FileOperation) => Promise<void>;
	isSyncSkipped: () => boolean;
};

class MemoryOpenFile extends OpenFile {
	readonly #content: MemoryFile;
	readonly #handle: MemoryHandle;

	constructor(content: MemoryFile, handle: MemoryHandle) {
		super();
		this.#content = content;
		this.#handle = handle;
	}

	override async write(bytes: Uint8Array, position: number) {
		await this.#handle.start('write');
		const {disk} = this.#handle;
		const growth = position + bytes.length - this.#content.sizeBytes;
		const excess = growth - (disk.capacityBytes - disk.usedBytes);
		const isFull = growth > 0 && excess > 0;
		const fitting = isFull ? Math.max(0, bytes.length - excess) : bytes.length;
		if (fitting > 0) {
			this.#content.change({
				position,
				bytes: Uint8Array.from(bytes.subarray(0, fitting)),
			});
		}

		if (isFull) {
			throw fileError('ENOSPC', 'no space left on the disk');
		}
	}

	override async read(position: number, lengthBytes: number) {
		await this.#handle.start('read');
		return Buffer.from(
			this.#content.bytes.subarray(position, position + lengthBytes),
		);
	}

	override async sync() {
		await this.#handle.start('sync');
		if (!this.#handle.isSyncSkipped()) {
			this.#content.sync();
		}
	}

	override async truncate(sizeBytes: number) {
		await this.#handle.start('write');
		this.#content.change({sizeBytes});
	}

	override async size() {
		return this.#content.sizeBytes;
	}

	override async close() {
		// Nothing is held.
	}
}
