export {checksum64, loadChecksum} from './checksum.ts';
export {openDiskId} from './disk-id.ts';
export {FileSystem, isDiskFull, OpenFile} from './file-system.ts';
export type {LogRecord} from './frame.ts';
export {HistoryStream, type HistoryStreamOptions} from './history-stream.ts';
export {
	type FileOperation,
	MemoryFileSystem,
	type MemoryFileSystemOptions,
} from './memory-file-system.ts';
export {writeFileDurably} from './write-file-durably.ts';
export {NodeFileSystem} from './node-file-system.ts';
export {SnapshotStore, type StoredSnapshot} from './snapshot-store.ts';
export {WriteAheadLog, type WriteAheadLogOptions} from './write-ahead-log.ts';
