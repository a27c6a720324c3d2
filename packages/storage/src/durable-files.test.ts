import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import type {GroupId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {openDiskId} from './disk-id.ts';
import {MemoryFileSystem} from './memory-file-system.ts';
import {NodeFileSystem} from './node-file-system.ts';
import {SnapshotStore} from './snapshot-store.ts';
import {WriteAheadLog} from './write-ahead-log.ts';

const groupId = 'shard-1' as GroupId;

describe('openDiskId', () => {
	it('keeps the id across a power loss and creates a new one for an empty disk', async () => {
		const disk = new MemoryFileSystem();
		const first = await openDiskId(disk, '/data');
		disk.crash();
		expect(await openDiskId(disk, '/data')).toBe(first);
		disk.wipe();
		expect(await openDiskId(disk, '/data')).not.toBe(first);
	});

	it('makes the id that a killed process left unsynced durable', async () => {
		let isKilled = true;
		const disk = new MemoryFileSystem({
			async delay(operation, file) {
				if (isKilled && operation === 'sync' && file === '/data') {
					await new Promise<never>(() => {
						// The process is killed before it has synced the folder.
					});
				}
			},
		});
		void openDiskId(disk.forProcess(), '/data');
		await new Promise((resolve) => {
			setImmediate(resolve);
		});
		isKilled = false;
		disk.endProcess();
		const second = await openDiskId(disk, '/data');
		disk.crash();
		expect(await openDiskId(disk, '/data')).toBe(second);
	});

	it('refuses a disk with a log but without an id', async () => {
		const disk = new MemoryFileSystem();
		await disk.open('/data/wal/wal-000000000001.log');
		await expect(
			openDiskId(disk, '/data', {usedFolders: ['wal']}),
		).rejects.toMatchObject({reason: 'data-corruption'});
	});

	it('refuses a damaged id', async () => {
		const disk = new MemoryFileSystem();
		await openDiskId(disk, '/data');
		disk.flipByte('/data/disk-id', 2);
		await expect(openDiskId(disk, '/data')).rejects.toMatchObject({
			reason: 'data-corruption',
		});
	});
});

describe('SnapshotStore', () => {
	it('loads the latest snapshot of the requested group only', async () => {
		const disk = new MemoryFileSystem();
		const store = await SnapshotStore.open(disk, '/snapshots');
		await store.save(groupId, {index: 9}, Buffer.from('nine'));
		await store.save(groupId, {index: 10}, Buffer.from('ten'));
		await store.save('shard-11' as GroupId, {index: 99}, Buffer.from('other'));
		disk.crash();
		const reopened = await SnapshotStore.open(disk, '/snapshots');
		const latest = await reopened.loadLatest(groupId);
		expect(latest?.meta.index).toBe(10);
		expect(Buffer.from(latest!.bytes).toString()).toBe('ten');
		const older = await reopened.load(groupId, 9);
		expect(older?.meta.index).toBe(9);
	});

	it('refuses a damaged snapshot, because the log before it may be gone', async () => {
		const disk = new MemoryFileSystem();
		const store = await SnapshotStore.open(disk, '/snapshots');
		await store.save(groupId, {index: 1}, Buffer.from('one'));
		disk.flipByte('/snapshots/shard-1-0000000000000001.snapshot', 25);
		await expect(store.loadLatest(groupId)).rejects.toMatchObject({
			reason: 'data-corruption',
		});
	});
});

describe('NodeFileSystem', () => {
	it('recovers a log after a restart', async () => {
		const folder = await mkdtemp(path.join(tmpdir(), 'storage-'));
		const log = await WriteAheadLog.open(new NodeFileSystem(), folder);
		await log.append([{group: 'g', kind: 7, payload: Buffer.from('abc')}]);
		await log.close();
		const reopened = await WriteAheadLog.open(new NodeFileSystem(), folder);
		const records: unknown[] = [];
		await reopened.recover(({group, kind, payload}) => {
			records.push([group, kind, Buffer.from(payload).toString()]);
		});
		await reopened.close();
		await rm(folder, {recursive: true});
		expect(records).toEqual([['g', 7, 'abc']]);
	});
});
