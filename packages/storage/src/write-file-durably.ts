import path from 'node:path';
import type {FileSystem} from './file-system.ts';

/**
 * Replaces a file so that after a crash either the old or the whole new content is there.
 *
 * @example
 * ```ts
 * await writeFileDurably(fileSystem, '/data/disk-id', Buffer.from('...'));
 * ```
 */
export const writeFileDurably = async (
	fileSystem: FileSystem,
	file: string,
	bytes: Uint8Array,
): Promise<void> => {
	const temporary = `${file}.tmp`;
	await fileSystem.remove(temporary);
	const handle = await fileSystem.open(temporary);
	try {
		await handle.write(bytes, 0);
		await handle.sync();
	} finally {
		await handle.close();
	}

	await fileSystem.rename(temporary, file);
	await fileSystem.syncFolder(path.dirname(file));
};
