import path from 'node:path';
import {DataCorruptionError} from '@marjoramcove/errors';
import type {GroupId} from '@marjoramcove/types';
import {checksum64, loadChecksum} from './checksum.ts';
import type {FileSystem} from './file-system.ts';
import {writeFileDurably} from './write-file-durably.ts';

/** A snapshot with its metadata. `Meta` must be serializable as JSON. */
export type StoredSnapshot<Meta> = {meta: Meta; bytes: Uint8Array};

// Layout: checksum u64, meta length u32, meta as JSON, content.
const HEADER_BYTES = 12;
/** One older snapshot is kept, because a replica may still be fetching it. */
const KEPT_SNAPSHOTS = 2;

/**
 * Keeps the latest snapshots of each group in one folder.
 *
 * @example
 * ```ts
 * const store = await SnapshotStore.open(fileSystem, '/data/snapshots');
 * await store.save(groupId, {index: 100, term: 3}, bytes);
 * const latest = await store.loadLatest(groupId);
 * ```
 */
export class SnapshotStore<Meta extends {index: number}> {
	static async open<Meta extends {index: number}>(
		fileSystem: FileSystem,
		folder: string,
	): Promise<SnapshotStore<Meta>> {
		await loadChecksum();
		await fileSystem.makeFolder(folder);
		for (const name of await fileSystem.list(folder)) {
			if (name.endsWith('.tmp')) {
				await fileSystem.remove(path.join(folder, name));
			}
		}

		// A killed process may have renamed a snapshot without syncing the folder.
		await fileSystem.syncFolder(folder);
		return new SnapshotStore<Meta>(fileSystem, folder);
	}

	readonly #fileSystem: FileSystem;
	readonly #folder: string;

	private constructor(fileSystem: FileSystem, folder: string) {
		this.#fileSystem = fileSystem;
		this.#folder = folder;
	}

	/** Saves a snapshot durably, then removes all but the two latest of the group. */
	async save(groupId: GroupId, meta: Meta, bytes: Uint8Array): Promise<void> {
		const metaBytes = Buffer.from(JSON.stringify(meta));
		const buffer = Buffer.allocUnsafe(
			HEADER_BYTES + metaBytes.length + bytes.length,
		);
		buffer.writeUInt32LE(metaBytes.length, 8);
		buffer.set(metaBytes, HEADER_BYTES);
		buffer.set(bytes, HEADER_BYTES + metaBytes.length);
		buffer.writeBigUInt64LE(checksum64(buffer.subarray(8)), 0);
		const name = `${groupId}-${String(meta.index).padStart(16, '0')}.snapshot`;
		await writeFileDurably(
			this.#fileSystem,
			path.join(this.#folder, name),
			buffer,
		);
		const names = await this.#listSnapshots(groupId);
		for (const oldName of names.slice(0, -KEPT_SNAPSHOTS)) {
			await this.#fileSystem.remove(path.join(this.#folder, oldName));
		}
	}

	/**
	 * Loads the latest snapshot, or `undefined` when the group has none.
	 *
	 * @throws DataCorruptionError when it is damaged. An older snapshot is no substitute, because the log
	 * between the two may already be deleted.
	 */
	async loadLatest(
		groupId: GroupId,
	): Promise<StoredSnapshot<Meta> | undefined> {
		const names = await this.#listSnapshots(groupId);
		const name = names.at(-1);
		return name === undefined ? undefined : this.#load(name);
	}

	/** Loads the snapshot at this log index, or `undefined` when it is no longer stored. */
	async load(
		groupId: GroupId,
		index: number,
	): Promise<StoredSnapshot<Meta> | undefined> {
		const suffix = `-${String(index).padStart(16, '0')}.snapshot`;
		const names = await this.#listSnapshots(groupId);
		const name = names.find((candidate) => candidate.endsWith(suffix));
		return name === undefined ? undefined : this.#load(name);
	}

	async #listSnapshots(groupId: GroupId) {
		const names = await this.#fileSystem.list(this.#folder);
		const prefix = `${groupId}-`;
		return names.filter(
			(name) =>
				name.startsWith(prefix) &&
				/^\d{16}\.snapshot$/u.test(name.slice(prefix.length)),
		);
	}

	async #load(name: string): Promise<StoredSnapshot<Meta>> {
		const file = path.join(this.#folder, name);
		const bytes = await this.#fileSystem.readFile(file);
		const buffer = Buffer.from(bytes ?? []);
		if (
			buffer.length < HEADER_BYTES ||
			checksum64(buffer.subarray(8)) !== buffer.readBigUInt64LE(0)
		) {
			throw new DataCorruptionError(file, 0, 'the checksum does not match');
		}

		const metaEnd = HEADER_BYTES + buffer.readUInt32LE(8);
		return {
			meta: JSON.parse(buffer.toString('utf8', HEADER_BYTES, metaEnd)) as Meta,
			bytes: buffer.subarray(metaEnd),
		};
	}
}
