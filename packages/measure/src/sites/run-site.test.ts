import {beforeAll, describe, expect, it} from 'vitest';
import type {Row} from '../row.ts';
import {runSites} from './run-sites.ts';
import {SITE_SCENARIOS} from './site-scenarios.ts';

/** Share of the total worth that the users require on their grown sites. */
const TARGET_WORTH = 0.9;

/** Each run takes several seconds. */
const RUN_TIMEOUT_MS = 120_000;

describe('runSites', () => {
	describe('on a day of high load, as specified in the site descriptions', () => {
		const sites = SITE_SCENARIOS.map(({name}) => name);
		let rows: Row[] = [];
		const worthOf = (site: string, name: string) =>
			Number(
				rows.find(({scenario, policy}) => scenario === site && policy === name)
					?.worth,
			);

		beforeAll(() => {
			rows = runSites({seed: 1, policies: ['marjoramcove', 'round-robin']});
		}, RUN_TIMEOUT_MS);

		it.each(sites)('%s earns the worth that its users require', (site) => {
			expect(worthOf(site, 'marjoramcove')).toBeGreaterThanOrEqual(
				TARGET_WORTH,
			);
		});

		it.each(sites)('%s earns more worth than with round robin', (site) => {
			expect(worthOf(site, 'marjoramcove')).toBeGreaterThan(
				worthOf(site, 'round-robin'),
			);
		});
	});
});
