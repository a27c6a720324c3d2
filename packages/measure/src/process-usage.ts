import {readFileSync} from 'node:fs';

/** Clock ticks per second in the CPU times of `/proc`. */
const TICKS_PER_SECOND = 100;
const PAGE_SIZE_BYTES = 4096;

/** Resource usage of a process since its start, read from `/proc` on Linux. */
export type ProcessUsage = {
	atMs: number;
	cpuMs: number;
	residentBytes: number;
	/** Resident anonymous memory; the system cannot drop it, because no file backs it. */
	privateBytes: number;
	/** Bytes read and written by system calls, on sockets and files. */
	readBytes: number;
	writtenBytes: number;
};

const readField = (text: string, name: string): number =>
	Number(new RegExp(`^${name}:\\s+(\\d+)`, 'mv').exec(text)?.[1] ?? 0);

/**
 * Reads the usage of a process.
 *
 * @throws Error when the process does not exist or the system has no `/proc`.
 */
export const readProcessUsage = (pid: number): ProcessUsage => {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
	// The process name may contain spaces; the fields after it do not.
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[11]) + Number(fields[12]);
	const pages = Number(
		readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1],
	);
	const io = readFileSync(`/proc/${pid}/io`, 'utf8');
	return {
		atMs: performance.now(),
		cpuMs: (ticks / TICKS_PER_SECOND) * 1000,
		residentBytes: pages * PAGE_SIZE_BYTES,
		privateBytes:
			readField(readFileSync(`/proc/${pid}/status`, 'utf8'), 'RssAnon') * 1024,
		readBytes: readField(io, 'rchar'),
		writtenBytes: readField(io, 'wchar'),
	};
};
