/** An open file with positioned reads and writes. */
export abstract class OpenFile {
	/** Writes all bytes at the position; the bytes are durable only after {@link OpenFile.sync}. */
	abstract write(bytes: Uint8Array, position: number): Promise<void>;
	/** Reads up to `lengthBytes` bytes; fewer when the file ends earlier. */
	abstract read(position: number, lengthBytes: number): Promise<Uint8Array>;
	/** Makes all earlier writes durable. After a failure the handle must not be used again. */
	abstract sync(): Promise<void>;
	abstract truncate(sizeBytes: number): Promise<void>;
	abstract size(): Promise<number>;
	abstract close(): Promise<void>;
}

/**
 * The file operations that the storage classes need. A created, renamed or removed name is durable
 * only after {@link FileSystem.syncFolder}.
 */
export abstract class FileSystem {
	/** Creates the folder and its parents, durably. */
	abstract makeFolder(folder: string): Promise<void>;
	/** Names of the files in the folder, sorted. */
	abstract list(folder: string): Promise<string[]>;
	/** Opens a file for reading and writing and creates it when it is absent. */
	abstract open(file: string): Promise<OpenFile>;
	/** Whole content, or `undefined` when the file does not exist. */
	abstract readFile(file: string): Promise<Uint8Array | undefined>;
	abstract rename(from: string, to: string): Promise<void>;
	/** Removes the file; no error when it does not exist. */
	abstract remove(file: string): Promise<void>;
	abstract syncFolder(folder: string): Promise<void>;
}

/** Whether an error of a file operation says that the disk is full. */
export const isDiskFull = (error: unknown): boolean => {
	const code = (error as {code?: unknown} | undefined)?.code;
	return code === 'ENOSPC' || code === 'EDQUOT';
};
