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
	it('reads appended bytes across segments, also before they are written', async () => {
		const stream = await openStream(new MemoryFileSystem());
		expect(stream.append(Buffer.from('hello '))).toBe(0);
		expect(stream.append(Buffer.from('world'))).toBe(6);
		expect(stream.lengthBytes).toBe(11);
		expect(await readText(stream, 3, 6)).toBe('lo wor');
		stream.append(Buffer.from('!'));
		expect(await readText(stream, 0, 12)).toBe('hello world!');
	});

	it('keeps synced bytes across a power loss and may lose the others', async () => {
		const disk = new MemoryFileSystem();
		const stream = await openStream(disk);
		stream.append(Buffer.from('synced'));
		await stream.sync();
		stream.append(Buffer.from('unsynced'));
		await stream.read(0, 14);
		disk.crash();
		const reopened = await openStream(disk);
		expect(reopened.lengthBytes).toBe(6);
		expect(await readText(reopened, 0, 6)).toBe('synced');
	});

	it('appends at the new end after a truncation', async () => {
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
		const reopened = await openStream(disk);
		expect(await readText(reopened, 0, reopened.lengthBytes)).toBe('abcdefXY');
	});

	it('refuses to truncate to a length that a snapshot refers to but the disk does not hold', async () => {
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
