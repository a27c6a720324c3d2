/** Bytes that a process has passed through reads and writes, of sockets and files. */
export type ProcessIo = {readBytes: number; writtenBytes: number};

const findNumber = (text: string, name: string): number =>
	Number(new RegExp(String.raw`^${name}: (\d+)$`, 'mu').exec(text)?.[1] ?? 0);

/**
 * Parses `/proc/self/io` of Linux; values that are missing count as 0.
 *
 * @example
 * ```ts
 * parseProcessIo('rchar: 10\nwchar: 20\n'); // {readBytes: 10, writtenBytes: 20}
 * ```
 */
export const parseProcessIo = (text: string): ProcessIo => ({
	readBytes: findNumber(text, 'rchar'),
	writtenBytes: findNumber(text, 'wchar'),
});
