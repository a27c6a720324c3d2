import path from 'node:path';
import type {FileSystem} from './file-system.ts';

/**
 * Replaces a file atomically and durably: after a crash it has either its old or its whole new content.
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
	const temporaryFile = `${file}.tmp`;
	await fileSystem.remove(temporaryFile);
	const handle = await fileSystem.open(temporaryFile);
	try {
		await handle.write(bytes, 0);
		await handle.sync();
	} finally {
		await handle.close();
	}

	await fileSystem.rename(temporaryFile, file);
	await fileSystem.syncFolder(path.dirname(file));
};
