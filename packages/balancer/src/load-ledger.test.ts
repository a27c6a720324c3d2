import {describe, expect, it} from 'vitest';
import {LoadLedger} from './load-ledger.ts';

describe('LoadLedger', () => {
	it('adds up what the others told, so that no daemon counts its own requests twice', () => {
		const ledger = new LoadLedger();
		ledger.note('a', {s1: 1, s2: 2}, 0);
		ledger.note('b', {s1: 10}, 0);
		ledger.note('c', {s1: 100}, 0);
		expect(ledger.sumOfOthers('b', 0)).toEqual({s1: 101, s2: 2});
	});

	it('forgets the load of a daemon that went silent', () => {
		const ledger = new LoadLedger();
		ledger.note('a', {s1: 5}, 0);
		expect(ledger.sumOfOthers('b', 1000)).toEqual({s1: 5});
		expect(ledger.sumOfOthers('b', 1001)).toEqual({});
	});
});
