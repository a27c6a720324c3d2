import {asId, type UpstreamId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {SharedPartLog} from './shared-part-log.ts';

const createPart = (server: string, id = 'system') => ({
	serverId: asId<UpstreamId>(server),
	id,
	tokens: 10,
});

describe('SharedPartLog', () => {
	it('returns the entries of other daemons since the last read', () => {
		const log = new SharedPartLog('r1');
		log.append('a', [createPart('s1')], 0);
		const first = log.read('b', undefined, 0);
		expect(first.shared).toEqual([createPart('s1')]);
		log.append('a', [createPart('s2')], 10);
		log.append('b', [createPart('s3')], 10);
		const second = log.read('b', first.position, 10);
		expect(second.shared).toEqual([createPart('s2')]);
		expect(log.read('b', second.position, 10).shared).toEqual([]);
	});

	it('returns all entries to a reader with a position of another log, whose sequence numbers do not apply', () => {
		const log = new SharedPartLog('r1');
		log.append('a', [createPart('s1')], 0);
		const position = {ledgerId: 'r2', sequence: 99};
		expect(log.read('b', position, 0).shared).toHaveLength(1);
	});

	it('bounds the age and the number of entries', () => {
		const log = new SharedPartLog('r1');
		log.append('a', [createPart('s1')], 0);
		expect(log.read('b', undefined, 60_000).shared).toEqual([]);
		for (let part = 0; part < 5000; part++) {
			log.append('a', [createPart('s1', `part-${part}`)], 60_000);
		}

		expect(log.read('b', undefined, 60_000).shared).toHaveLength(4096);
	});
});
