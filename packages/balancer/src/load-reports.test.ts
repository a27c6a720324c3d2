import {describe, expect, it} from 'vitest';
import {LoadReports} from './load-reports.ts';

describe('LoadReports', () => {
	it('sums the reports of the other daemons, so that no daemon counts its own requests twice', () => {
		const reports = new LoadReports();
		reports.record('a', {s1: 1, s2: 2}, 0);
		reports.record('b', {s1: 10}, 0);
		reports.record('c', {s1: 100}, 0);
		expect(reports.sumOfOthers('b', 0)).toEqual({s1: 101, s2: 2});
	});

	it('discards the report of a daemon that has stopped reporting', () => {
		const reports = new LoadReports();
		reports.record('a', {s1: 5}, 0);
		expect(reports.sumOfOthers('b', 1000)).toEqual({s1: 5});
		expect(reports.sumOfOthers('b', 1001)).toEqual({});
	});
});
