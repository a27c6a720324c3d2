import path from 'node:path';
import {FileSystem, OpenFile} from './file-system.ts';

/** Operations of a {@link MemoryFileSystem} that can fail or be delayed. */
export type FileOperation =
	'list' | 'open' | 'read' | 'remove' | 'rename' | 'sync' | 'write';

/** Settings of a {@link MemoryFileSystem}. */
export type MemoryFileSystemOptions = {
	/** Called before each operation; a returned promise delays it, so that a crash can hit it midway. */
	delay?: (operation: FileOperation) => Promise<void> | undefined;
};

type Change = {position: number; bytes: Uint8Array} | {sizeBytes: number};

type Node = {
	content: Buffer;
	sizeBytes: number;
	/** Content after the last sync, and the changes since, in order. */
	durable: Buffer;
	changes: Change[];
};

const applyChange = (content: Buffer, change: Change): Buffer => {
	if ('sizeBytes' in change) {
		const result = Buffer.alloc(change.sizeBytes);
		content.copy(result);
		return result;
	}

	const end = change.position + change.bytes.length;
	const result = Buffer.alloc(Math.max(content.length, end));
	content.copy(result);
	result.set(change.bytes, change.position);
	return result;
};

const fileError = (code: string, message: string) =>
	Object.assign(new Error(`${code}: ${message}`), {code});

const createNode = (): Node => ({
	content: Buffer.alloc(0),
	sizeBytes: 0,
	durable: Buffer.alloc(0),
	changes: [],
});

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
	/** Total bytes that the disk can hold; writes beyond it fail with `ENOSPC`. */
	capacityBytes = Number.POSITIVE_INFINITY;
	/** Makes syncs report success without making anything durable, to prove that checks notice it. */
	isSyncSkipped = false;
	readonly #delay: (operation: FileOperation) => Promise<void> | undefined;
	#names = new Map<string, Node>();
	readonly #durableNames = new Map<string, Node>();
	#failures: Array<{operation: FileOperation; code: string}> = [];
	#generation = 0;

	constructor(options: MemoryFileSystemOptions = {}) {
		super();
		this.#delay = options.delay ?? (() => undefined);
	}

	/** Sum of the sizes of all files. */
	get usedBytes(): number {
		let sum = 0;
		for (const node of this.#names.values()) {
			sum += node.sizeBytes;
		}

		return sum;
	}

	/** Lets the next operation of this kind fail with the error code, for example `EIO`. */
	failNext(operation: FileOperation, code = 'EIO'): void {
		this.#failures.push({operation, code});
	}

	/**
	 * Loses the power: unsynced data is gone and open handles fail.
	 *
	 * @param chooseKept - given the number of unsynced changes or bytes, how many of the first ones
	 * reach the disk; by default none. A partly kept write is torn.
	 */
	crash(chooseKept: (count: number) => number = () => 0): void {
		this.stopProcess();
		this.#names = new Map(this.#durableNames);
		for (const node of this.#names.values()) {
			const kept = chooseKept(node.changes.length);
			let {durable} = node;
			for (const change of node.changes.slice(0, kept)) {
				durable = applyChange(durable, change);
			}

			const torn = node.changes[kept];
			if (torn && 'bytes' in torn) {
				const bytes = torn.bytes.subarray(0, chooseKept(torn.bytes.length));
				durable =
					bytes.length > 0 ? applyChange(durable, {...torn, bytes}) : durable;
			}

			node.durable = durable;
			node.content = durable;
			node.sizeBytes = durable.length;
			node.changes = [];
		}
	}

	/** Ends the process that uses the disk: open handles fail, but the written data stays. */
	stopProcess(): void {
		this.#generation += 1;
		this.#failures = [];
	}

	/** Empties the disk, as when it is replaced by a new one. */
	wipe(): void {
		this.stopProcess();
		this.#names.clear();
		this.#durableNames.clear();
	}

	/** Changes one byte of a file on the disk, as bit rot does. */
	flipByte(file: string, position: number): void {
		const node = this.#names.get(file);
		if (!node || position >= node.sizeBytes) {
			throw fileError('ENOENT', `${file} has no byte ${position}`);
		}

		for (const content of new Set([node.content, node.durable])) {
			content[position] = 255 - content[position]!;
		}
	}

	override async makeFolder(_folder: string) {
		// Folders exist implicitly.
	}

	override async list(folder: string) {
		await this.#start('list');
		return [...this.#names.keys()]
			.filter((name) => path.dirname(name) === folder)
			.map((name) => path.basename(name))
			.toSorted();
	}

	override async open(file: string): Promise<OpenFile> {
		await this.#start('open');
		let node = this.#names.get(file);
		if (!node) {
			node = createNode();
			this.#names.set(file, node);
		}

		return this.#createHandle(node);
	}

	override async readFile(file: string) {
		await this.#start('read');
		const node = this.#names.get(file);
		return node && Buffer.from(node.content.subarray(0, node.sizeBytes));
	}

	override async rename(from: string, to: string) {
		await this.#start('rename');
		const node = this.#names.get(from);
		if (!node) {
			throw fileError('ENOENT', `${from} does not exist`);
		}

		this.#names.delete(from);
		this.#names.set(to, node);
	}

	override async remove(file: string) {
		await this.#start('remove');
		this.#names.delete(file);
	}

	override async syncFolder(folder: string) {
		await this.#start('sync');
		if (this.isSyncSkipped) {
			return;
		}

		for (const name of this.#durableNames.keys()) {
			if (path.dirname(name) === folder && !this.#names.has(name)) {
				this.#durableNames.delete(name);
			}
		}

		for (const [name, node] of this.#names) {
			if (path.dirname(name) === folder) {
				this.#durableNames.set(name, node);
			}
		}
	}

	async #start(operation: FileOperation, generation = this.#generation) {
		await this.#delay(operation);
		if (generation !== this.#generation) {
			throw fileError('EBADF', 'the process that opened the file has ended');
		}

		const position = this.#failures.findIndex(
			(failure) => failure.operation === operation,
		);
		if (position !== -1) {
			const [failure] = this.#failures.splice(position, 1);
			throw fileError(failure!.code, `injected failure of ${operation}`);
		}
	}

	#write(node: Node, bytes: Uint8Array, position: number) {
		const end = position + bytes.length;
		const growth = Math.max(0, end - node.sizeBytes);
		const space = this.capacityBytes - this.usedBytes;
		if (growth > space) {
			const fitting = bytes.length - (growth - Math.max(0, space));
			if (fitting > 0) {
				this.#write(node, bytes.subarray(0, fitting), position);
			}

			throw fileError('ENOSPC', 'no space left on the disk');
		}

		if (end > node.content.length || node.content === node.durable) {
			const grown = Buffer.alloc(Math.max(end, node.content.length * 2, 1024));
			node.content.copy(grown, 0, 0, node.sizeBytes);
			node.content = grown;
		}

		const copy = Uint8Array.from(bytes);
		node.content.set(copy, position);
		node.sizeBytes = Math.max(node.sizeBytes, end);
		node.changes.push({position, bytes: copy});
	}

	#truncate(node: Node, sizeBytes: number) {
		const content = Buffer.alloc(sizeBytes);
		node.content.copy(content, 0, 0, Math.min(sizeBytes, node.sizeBytes));
		node.content = content;
		node.sizeBytes = sizeBytes;
		node.changes.push({sizeBytes});
	}

	#sync(node: Node) {
		if (!this.isSyncSkipped) {
			node.durable = Buffer.from(node.content.subarray(0, node.sizeBytes));
			node.changes = [];
		}
	}

	#createHandle(node: Node): OpenFile {
		const generation = this.#generation;
		const start = async (operation: FileOperation) =>
			this.#start(operation, generation);
		return new (class extends OpenFile {
			readonly #disk: MemoryFileSystem;

			constructor(disk: MemoryFileSystem) {
				super();
				this.#disk = disk;
			}

			override async write(bytes: Uint8Array, position: number) {
				await start('write');
				this.#disk.#write(node, bytes, position);
			}

			override async read(position: number, lengthBytes: number) {
				await start('read');
				const end = Math.min(position + lengthBytes, node.sizeBytes);
				return Buffer.from(
					node.content.subarray(position, Math.max(position, end)),
				);
			}

			override async sync() {
				await start('sync');
				this.#disk.#sync(node);
			}

			override async truncate(sizeBytes: number) {
				await start('write');
				this.#disk.#truncate(node, sizeBytes);
			}

			override async size() {
				return node.sizeBytes;
			}

			override async close() {
				// Nothing is held.
			}
		})(this);
	}
}
