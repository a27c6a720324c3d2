import {randomBytes} from 'node:crypto';
import path from 'node:path';
import {DataCorruptionError} from '@marjoramcove/errors';
import {asId, type DiskId} from '@marjoramcove/types';
import type {FileSystem} from './file-system.ts';
import {writeFileDurably} from './write-file-durably.ts';

const DISK_ID_PATTERN = /^disk-[\da-z-]{1,64}\n$/u;

/** Options of {@link openDiskId}. */
export type OpenDiskIdOptions = {
	/** Folders that must be empty when the disk has no id yet. */
	usedFolders?: readonly string[];
	createId?: () => string;
};

const createRandomId = () => `disk-${randomBytes(10).toString('hex')}`;

/**
 * Reads the id of the disk, and creates one when the folder has none.
 *
 * An empty disk gets a new id, so that a replica that lost its disk is not mistaken for the voter that
 * it was before.
 *
 * @throws DataCorruptionError when the file holds no valid id, or is missing on a used disk.
 * @example
 * ```ts
 * const diskId = await openDiskId(new NodeFileSystem(), '/var/lib/marjoramcove');
 * ```
 */
export const openDiskId = async (
	fileSystem: FileSystem,
	folder: string,
	{usedFolders = [], createId = createRandomId}: OpenDiskIdOptions = {},
): Promise<DiskId> => {
	await fileSystem.makeFolder(folder);
	const file = path.join(folder, 'disk-id');
	const bytes = await fileSystem.readFile(file);
	if (bytes) {
		const text = Buffer.from(bytes).toString('utf8');
		if (!DISK_ID_PATTERN.test(text)) {
			throw new DataCorruptionError(
				file,
				0,
				'it does not contain a valid disk id',
			);
		}

		// A killed process may have written the file without syncing the folder. A crash could then remove
		// the file, and the disk would get a second id while its log still holds votes of the first.
		await fileSystem.syncFolder(folder);
		return asId<DiskId>(text.trim());
	}

	for (const usedFolder of usedFolders) {
		const [name] = await fileSystem.list(path.join(folder, usedFolder));
		if (name !== undefined) {
			throw new DataCorruptionError(
				file,
				0,
				`it is missing, but ${usedFolder}/${name} exists`,
			);
		}
	}

	const id = createId();
	await writeFileDurably(fileSystem, file, Buffer.from(`${id}\n`));
	return asId<DiskId>(id);
};
