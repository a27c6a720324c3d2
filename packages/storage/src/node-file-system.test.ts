import {mkdir, mkdtemp, rm, writeFile} from 'node:fs/promises';
import type * as filePromises from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {NodeFileSystem} from './node-file-system.ts';

const listed = vi.hoisted(() => ({extraNames: [] as string[]}));

// Simulates a file system that stores no file types in its directory entries: for `withFileTypes`, Node.js
// calls `lstat` for each name and fails when the file has been removed meanwhile.
vi.mock('node:fs/promises', async (importOriginal) => {
	const original = await importOriginal<typeof filePromises>();
	return {
		...original,
		async readdir(folder: string, options?: {withFileTypes?: boolean}) {
			if (options?.withFileTypes && listed.extraNames.length > 0) {
				throw Object.assign(
					new Error('ENOENT: no such file or directory, lstat'),
					{code: 'ENOENT'},
				);
			}

			const names = await original.readdir(folder);
			return options?.withFileTypes
				? original.readdir(folder, {withFileTypes: true})
				: [...names, ...listed.extraNames];
		},
	};
});

describe('NodeFileSystem', () => {
	let folder: string;

	beforeEach(async () => {
		folder = await mkdtemp(path.join(tmpdir(), 'marjoramcove-'));
	});

	afterEach(async () => {
		listed.extraNames = [];
		await rm(folder, {recursive: true});
	});

	describe('list', () => {
		it('returns the sorted names of the files without folders', async () => {
			await writeFile(path.join(folder, 'b'), '');
			await writeFile(path.join(folder, 'a'), '');
			await mkdir(path.join(folder, 'c'));
			expect(await new NodeFileSystem().list(folder)).toEqual(['a', 'b']);
		});

		it('skips a file that is removed during the listing (failure: a daemon exits because a snapshot file is renamed at that moment)', async () => {
			await writeFile(path.join(folder, 'shard-0-1.snapshot'), '');
			listed.extraNames = ['shard-1-1.snapshot.tmp'];
			expect(await new NodeFileSystem().list(folder)).toEqual([
				'shard-0-1.snapshot',
			]);
		});
	});
});
