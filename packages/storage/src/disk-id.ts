import {randomBytes} from 'node:crypto';
import path from 'node:path';
import {DataCorruptionError} from '@marjoramcove/errors';
import {asId, type DiskId} from '@marjoramcove/types';
import type {FileSystem} from './file-system.ts';
import {writeFileDurably} from './write-file-durably.ts';

const DISK_ID_PATTERN = /^disk-[\da-z-]{1,64}\n$/u;

/**
 * Reads the identity of the disk and creates it when the folder has none.
 *
 * An empty disk gets a new identity, so a replica that lost its disk cannot be taken for the voter
 * that it was.
 *
 * @throws DataCorruptionError when the file exists but holds no valid id.
 * @example
 * ```ts
 * const diskId = await openDiskId(new NodeFileSystem(), '/var/lib/marjoramcove');
 * ```
 */
export const openDiskId = async (
	fileSystem: FileSystem,
	folder: string,
	createId: () => string = () => `disk-${randomBytes(10).toString('hex')}`,
): Promise<DiskId> => {
	await fileSystem.makeFolder(folder);
	const file = path.join(folder, 'disk-id');
	const bytes = await fileSystem.readFile(file);
	if (bytes) {
		const text = Buffer.from(bytes).toString('utf8');
		if (!DISK_ID_PATTERN.test(text)) {
			throw new DataCorruptionError(file, 0, 'it holds no valid disk id');
		}

		return asId<DiskId>(text.trim());
	}

	const id = createId();
	await writeFileDurably(fileSystem, file, Buffer.from(`${id}\n`));
	return asId<DiskId>(id);
};
