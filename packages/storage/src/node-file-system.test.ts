import {mkdir, mkdtemp, rm, writeFile} from 'node:fs/promises';
import type * as filePromises from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {afterEach, beforeEach, describe, expect, it, vi} from 'vitest';
import {NodeFileSystem} from './node-file-system.ts';

const listed = vi.hoisted(() => ({extraNames: [] as string[]}));

// A folder on a file system that keeps no types beside the names: Node.js asks for the type of each name
// and fails when one of them is gone by then.
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
		it('names the files in order and leaves folders out', async () => {
			await writeFile(path.join(folder, 'b'), '');
			await writeFile(path.join(folder, 'a'), '');
			await mkdir(path.join(folder, 'c'));
			expect(await new NodeFileSystem().list(folder)).toEqual(['a', 'b']);
		});

		it('passes over a file that goes meanwhile (failure: a daemon ends because another snapshot was just renamed)', async () => {
			await writeFile(path.join(folder, 'shard-0-1.snapshot'), '');
			listed.extraNames = ['shard-1-1.snapshot.tmp'];
			expect(await new NodeFileSystem().list(folder)).toEqual([
				'shard-0-1.snapshot',
			]);
		});
	});
});
