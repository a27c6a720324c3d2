import {
	type FileHandle,
	lstat,
	mkdir,
	open,
	readdir,
	readFile,
	rename,
	rm,
} from 'node:fs/promises';
import {constants} from 'node:fs';
import path from 'node:path';
import {FileSystem, OpenFile} from './file-system.ts';

class NodeOpenFile extends OpenFile {
	readonly #handle: FileHandle;

	constructor(handle: FileHandle) {
		super();
		this.#handle = handle;
	}

	override async write(bytes: Uint8Array, position: number) {
		let writtenBytes = 0;
		while (writtenBytes < bytes.length) {
			const {bytesWritten} = await this.#handle.write(
				bytes,
				writtenBytes,
				bytes.length - writtenBytes,
				position + writtenBytes,
			);
			writtenBytes += bytesWritten;
		}
	}

	override async read(position: number, lengthBytes: number) {
		const buffer = Buffer.allocUnsafe(lengthBytes);
		let filledBytes = 0;
		while (filledBytes < lengthBytes) {
			const {bytesRead} = await this.#handle.read(
				buffer,
				filledBytes,
				lengthBytes - filledBytes,
				position + filledBytes,
			);
			if (bytesRead === 0) {
				break;
			}

			filledBytes += bytesRead;
		}

		return buffer.subarray(0, filledBytes);
	}

	override async sync() {
		await this.#handle.datasync();
	}

	override async truncate(sizeBytes: number) {
		await this.#handle.truncate(sizeBytes);
	}

	override async size() {
		const {size} = await this.#handle.stat();
		return size;
	}

	override async close() {
		await this.#handle.close();
	}
}

const isMissing = (error: unknown) =>
	(error as {code?: unknown} | undefined)?.code === 'ENOENT';

/**
 * Whether the path is an existing file. The option `withFileTypes` of `readdir` is not used: on file
 * systems that store no types in directory entries, it fails when a file is removed meanwhile.
 */
const isFile = async (file: string): Promise<boolean> => {
	try {
		const stats = await lstat(file);
		return stats.isFile();
	} catch (error) {
		if (isMissing(error)) {
			return false;
		}

		throw error;
	}
};

/**
 * The file system of the operating system.
 *
 * @example
 * ```ts
 * const log = await WriteAheadLog.open(new NodeFileSystem(), '/var/lib/marjoramcove/wal');
 * ```
 */
export class NodeFileSystem extends FileSystem {
	override async makeFolder(folder: string) {
		await mkdir(folder, {recursive: true});
		await this.syncFolder(path.dirname(folder));
	}

	override async list(folder: string) {
		const names = await readdir(folder);
		const files = await Promise.all(
			names.map(async (name) =>
				(await isFile(path.join(folder, name))) ? [name] : [],
			),
		);
		return files.flat().toSorted();
	}

	override async open(file: string) {
		// eslint-disable-next-line no-bitwise
		const flags = constants.O_RDWR | constants.O_CREAT;
		return new NodeOpenFile(await open(file, flags, 0o640));
	}

	override async readFile(file: string) {
		try {
			return await readFile(file);
		} catch (error) {
			if (isMissing(error)) {
				return undefined;
			}

			throw error;
		}
	}

	override async rename(from: string, to: string) {
		await rename(from, to);
	}

	override async remove(file: string) {
		await rm(file, {force: true});
	}

	override async syncFolder(folder: string) {
		const handle = await open(folder, 'r');
		try {
			await handle.sync();
		} finally {
			await handle.close();
		}
	}
}
