import {MemoryFileSystem} from '@marjoramcove/storage';
import {describe, expect, it} from 'vitest';
import {ShardMapFile} from './shard-map-file.ts';

const shardMap = {version: 3, shards: [], retiringDisks: []};

describe('ShardMapFile', () => {
	it('returns the last saved map after a power failure', async () => {
		const fileSystem = new MemoryFileSystem();
		await fileSystem.makeFolder('/data');
		const file = new ShardMapFile(fileSystem, '/data');
		expect(await file.load()).toBeUndefined();
		await file.save({...shardMap, version: 2});
		await file.save(shardMap);
		fileSystem.crash();
		expect(await new ShardMapFile(fileSystem, '/data').load()).toEqual(
			shardMap,
		);
	});
});
