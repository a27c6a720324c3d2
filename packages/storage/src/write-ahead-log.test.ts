import {describe, expect, it} from 'vitest';
import {MemoryFileSystem} from './memory-file-system.ts';
import {WriteAheadLog} from './write-ahead-log.ts';

const record = (text: string) => ({
	group: 'shard-0',
	kind: 2,
	payload: Buffer.from(text),
});

const openLog = async (
	disk: MemoryFileSystem,
	options: Parameters<typeof WriteAheadLog.open>[2] = {},
) => {
	const log = await WriteAheadLog.open(disk.forProcess(), '/wal', options);
	const recovered: string[] = [];
	await log.recover(({payload}) => {
		recovered.push(Buffer.from(payload).toString());
	});
	return {log, recovered};
};

const lastSegment = (disk: MemoryFileSystem) => {
	const segments = disk
		.describeFiles()
		.filter(({file}) => file.startsWith('/wal/'))
		.toSorted((a, b) => a.file.localeCompare(b.file));
	return segments.at(-1)!;
};

describe('WriteAheadLog', () => {
	describe('append', () => {
		it('keeps acknowledged records in order across a power loss', async () => {
			const disk = new MemoryFileSystem();
			const {log} = await openLog(disk);
			await Promise.all([
				log.append([record('a'), record('b')]),
				log.append([record('c')]),
			]);
			disk.crash();
			const {recovered} = await openLog(disk);
			expect(recovered).toEqual(['a', 'b', 'c']);
		});

		it('writes all pending records with one sync', async () => {
			let syncs = 0;
			const disk = new MemoryFileSystem({
				delay(operation, file) {
					syncs += operation === 'sync' && file.endsWith('.log') ? 1 : 0;
					return undefined;
				},
			});
			const {log} = await openLog(disk);
			await log.append([record('first')]);
			syncs = 0;
			await Promise.all(
				Array.from({length: 100}, async (_, number) =>
					log.append([record(String(number))]),
				),
			);
			expect(syncs).toBe(1);
		});

		it('accepts nothing after a failed sync, because a later sync may hide the loss', async () => {
			const disk = new MemoryFileSystem();
			const {log} = await openLog(disk);
			await log.append([record('a')]);
			disk.failNext('sync');
			await expect(log.append([record('b')])).rejects.toMatchObject({
				reason: 'log-failed',
				verdict: 'may-have-run',
			});
			await expect(log.append([record('c')])).rejects.toMatchObject({
				reason: 'log-failed',
			});
		});

		it('waits while the disk is full and loses nothing', async () => {
			const disk = new MemoryFileSystem();
			const states: boolean[] = [];
			const {log} = await openLog(disk, {
				async waitForSpace() {
					disk.capacityBytes = Number.POSITIVE_INFINITY;
				},
				onDiskFull(isFull) {
					states.push(isFull);
				},
			});
			await log.append([record('a')]);
			disk.capacityBytes = disk.usedBytes + 5;
			await log.append([record('b')]);
			disk.crash();
			const {recovered} = await openLog(disk);
			expect(recovered).toEqual(['a', 'b']);
			expect(states).toEqual([true, false]);
		});
	});

	describe('recover', () => {
		it('removes a torn tail of any length and keeps all records before it', async () => {
			const tail = record('the unsynced record');
			// The frame has 44 bytes, so every shorter part of it is torn.
			for (let keptBytes = 0; keptBytes < 44; keptBytes++) {
				const isCrashing = {value: false};
				const disk = new MemoryFileSystem({
					async delay(operation) {
						if (isCrashing.value && operation === 'sync') {
							await new Promise<never>(() => {
								// The power is lost before the sync ends.
							});
						}
					},
				});
				const {log} = await openLog(disk);
				await log.append([record('a')]);
				isCrashing.value = true;
				void log.append([tail]);
				await new Promise((resolve) => {
					setImmediate(resolve);
				});
				isCrashing.value = false;
				disk.crash((count) => (count === 1 ? 0 : Math.min(keptBytes, count)));
				const {log: reopened, recovered} = await openLog(disk);
				expect(recovered).toEqual(['a']);
				await reopened.append([record('b')]);
				disk.crash();
				const {recovered: recoveredAgain} = await openLog(disk);
				expect(recoveredAgain).toEqual(['a', 'b']);
			}
		});

		it('refuses damage before a valid frame', async () => {
			const disk = new MemoryFileSystem();
			const {log} = await openLog(disk);
			await log.append([record('a'), record('b')]);
			disk.flipByte(lastSegment(disk).file, 20);
			await expect(openLog(disk)).rejects.toMatchObject({
				reason: 'data-corruption',
			});
		});

		it('refuses damage at the end of a segment that is not the last', async () => {
			const disk = new MemoryFileSystem();
			const {log} = await openLog(disk, {segmentSizeBytes: 10});
			await log.append([record('a')]);
			const first = lastSegment(disk);
			await log.append([record('b')]);
			expect(lastSegment(disk).file).not.toBe(first.file);
			disk.flipByte(first.file, first.sizeBytes - 1);
			await expect(openLog(disk)).rejects.toMatchObject({
				reason: 'data-corruption',
			});
		});

		it('makes records that a killed process left unsynced durable during recovery', async () => {
			const disk = new MemoryFileSystem({
				// The first process is killed before any of its syncs take effect.
				isSyncSkipped: (file) => file.endsWith('000001.log'),
			});
			const {log} = await openLog(disk);
			await log.append([record('a')]);
			disk.endProcess();
			const {recovered} = await openLog(disk);
			expect(recovered).toEqual(['a']);
			disk.crash();
			const {recovered: recoveredAgain} = await openLog(disk);
			expect(recoveredAgain).toEqual(['a']);
		});
	});

	describe('truncatePrefix', () => {
		it('deletes whole segments but never the current one', async () => {
			const disk = new MemoryFileSystem();
			const {log} = await openLog(disk, {segmentSizeBytes: 10});
			for (const text of ['a', 'b', 'c']) {
				await log.append([record(text)]);
			}

			await log.truncatePrefix(2);
			await log.truncatePrefix(99);
			expect(log.firstSegment).toBe(log.currentSegment);
			const {recovered} = await openLog(disk);
			expect(recovered).toEqual(['c']);
		});

		it('refuses to open when a segment between the first and the last is missing', async () => {
			const disk = new MemoryFileSystem();
			const {log} = await openLog(disk, {segmentSizeBytes: 10});
			for (const text of ['a', 'b', 'c']) {
				await log.append([record(text)]);
			}

			await disk.remove('/wal/wal-000000000002.log');
			await expect(openLog(disk)).rejects.toMatchObject({
				reason: 'data-corruption',
			});
		});
	});
});
