import path from 'node:path';
import type {ShardMap} from '@marjoramcove/control-state';
import {type FileSystem, writeFileDurably} from '@marjoramcove/storage';

const FILE_NAME = 'shard-map.json';

/**
 * Local copy of the shard map on the disk of a `state` daemon. After a full restart, the shards can elect
 * their leaders in parallel with the configuration group instead of waiting for it.
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
	 * Reads the copy; returns `undefined` if there is none yet.
	 *
	 * @throws SyntaxError if the copy is malformed.
	 */
	async load(): Promise<ShardMap | undefined> {
		const file = path.join(this.#folder, FILE_NAME);
		const bytes = await this.#fileSystem.readFile(file);
		return bytes && (JSON.parse(Buffer.from(bytes).toString()) as ShardMap);
	}

	/** Replaces the copy; resolves once it is durable. */
	async save(shardMap: ShardMap): Promise<void> {
		await writeFileDurably(
			this.#fileSystem,
			path.join(this.#folder, FILE_NAME),
			Buffer.from(JSON.stringify(shardMap)),
		);
	}
}
