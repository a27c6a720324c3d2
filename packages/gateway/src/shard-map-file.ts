import path from 'node:path';
import type {ShardMap} from '@marjoramcove/control-state';
import {type FileSystem, writeFileDurably} from '@marjoramcove/storage';

const FILE_NAME = 'shard-map.json';

/**
 * Copy of the shard map on the disk of a `state` daemon. After a restart of everything the shards elect
 * their leaders at the same time as the configuration group, and do not wait for it.
 *
 * @example
 * ```ts
 * const file = new ShardMapFile(fileSystem, '/data');
 * await file.save(shardMap);
 * ```
 */
export class ShardMapFile {
	readonly #fileSystem: FileSystem;
	readonly #folder: string;

	constructor(fileSystem: FileSystem, folder: string) {
		this.#fileSystem = fileSystem;
		this.#folder = folder;
	}

	/**
	 * Reads the copy, `undefined` when there is none yet.
	 *
	 * @throws SyntaxError when the copy cannot be read.
	 */
	async load(): Promise<ShardMap | undefined> {
		const file = path.join(this.#folder, FILE_NAME);
		const bytes = await this.#fileSystem.readFile(file);
		return bytes && (JSON.parse(Buffer.from(bytes).toString()) as ShardMap);
	}

	/** Replaces the copy; it is durable afterwards. */
	async save(shardMap: ShardMap): Promise<void> {
		await writeFileDurably(
			this.#fileSystem,
			path.join(this.#folder, FILE_NAME),
			Buffer.from(JSON.stringify(shardMap)),
		);
	}
}
