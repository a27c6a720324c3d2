import {describe, expect, it} from 'vitest';
import {HistoryStream} from './history-stream.ts';
import {MemoryFileSystem} from './memory-file-system.ts';

const readText = async (
	stream: HistoryStream,
	offset: number,
	length: number,
) => {
	const bytes = await stream.read(offset, length);
	return Buffer.from(bytes).toString();
};

const openStream = async (disk: MemoryFileSystem) =>
	HistoryStream.open(disk.forProcess(), '/history', {segmentSizeBytes: 4});

describe('HistoryStream', () => {
	it('reads across segments what was appended, also before it is written', async () => {
		const stream = await openStream(new MemoryFileSystem());
		expect(stream.append(Buffer.from('hello '))).toBe(0);
		expect(stream.append(Buffer.from('world'))).toBe(6);
		expect(stream.lengthBytes).toBe(11);
		expect(await readText(stream, 3, 6)).toBe('lo wor');
		stream.append(Buffer.from('!'));
		expect(await readText(stream, 0, 12)).toBe('hello world!');
	});

	it('keeps synced bytes over a loss of power and may lose the rest', async () => {
		const disk = new MemoryFileSystem();
		const stream = await openStream(disk);
		stream.append(Buffer.from('synced'));
		await stream.sync();
		stream.append(Buffer.from('unsynced'));
		await stream.read(0, 14);
		disk.crash();
		const later = await openStream(disk);
		expect(later.lengthBytes).toBe(6);
		expect(await readText(later, 0, 6)).toBe('synced');
	});

	it('continues at the offset to which it was shortened', async () => {
		const disk = new MemoryFileSystem();
		const stream = await openStream(disk);
		for (const part of ['abcd', 'efgh', 'ijkl']) {
			stream.append(Buffer.from(part));
			await stream.sync();
		}

		await stream.truncate(6);
		stream.append(Buffer.from('XY'));
		await stream.sync();
		disk.crash();
		const later = await openStream(disk);
		expect(await readText(later, 0, later.lengthBytes)).toBe('abcdefXY');
	});

	it('refuses a length that a snapshot names but the disk does not have', async () => {
		const stream = await openStream(new MemoryFileSystem());
		stream.append(Buffer.from('abc'));
		await expect(stream.truncate(4)).rejects.toMatchObject({
			reason: 'data-corruption',
		});
	});

	it('refuses to read a range outside of the stream', async () => {
		const stream = await openStream(new MemoryFileSystem());
		stream.append(Buffer.from('abc'));
		await expect(stream.read(1, 3)).rejects.toMatchObject({
			reason: 'invalid-input',
		});
	});
});
