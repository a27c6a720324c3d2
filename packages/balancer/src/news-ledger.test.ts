import {asId, type UpstreamId} from '@marjoramcove/types';
import {describe, expect, it} from 'vitest';
import {NewsLedger} from './news-ledger.ts';

const createPart = (server: string, id = 'system') => ({
	serverId: asId<UpstreamId>(server),
	id,
	tokens: 10,
});

describe('NewsLedger', () => {
	it('gives a reader what others told since it last read', () => {
		const ledger = new NewsLedger('r1');
		ledger.note('a', [createPart('s1')], 0);
		const first = ledger.read('b', undefined, 0);
		expect(first.shared).toEqual([createPart('s1')]);
		ledger.note('a', [createPart('s2')], 10);
		ledger.note('b', [createPart('s3')], 10);
		const second = ledger.read('b', first.position, 10);
		expect(second.shared).toEqual([createPart('s2')]);
		expect(ledger.read('b', second.position, 10).shared).toEqual([]);
	});

	it('gives everything to a reader that comes from another ledger, whose sequence means nothing here', () => {
		const ledger = new NewsLedger('r1');
		ledger.note('a', [createPart('s1')], 0);
		const position = {ledgerId: 'r2', sequence: 99};
		expect(ledger.read('b', position, 0).shared).toHaveLength(1);
	});

	it('stays bounded by age and by number', () => {
		const ledger = new NewsLedger('r1');
		ledger.note('a', [createPart('s1')], 0);
		expect(ledger.read('b', undefined, 60_000).shared).toEqual([]);
		for (let part = 0; part < 5000; part++) {
			ledger.note('a', [createPart('s1', `part-${part}`)], 60_000);
		}

		expect(ledger.read('b', undefined, 60_000).shared).toHaveLength(4096);
	});
});
