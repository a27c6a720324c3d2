import {RandomDraws} from '../random-draws.ts';
import type {Row} from '../row.ts';
import {runSite} from './run-site.ts';
import type {SitePolicy} from './site-policy.ts';
import {
	LeastInFlightSitePolicy,
	MarjoramcoveSitePolicy,
	RoundRobinSitePolicy,
	SessionStickySitePolicy,
} from './site-policies.ts';
import {SITE_SCENARIOS, type SiteScenario} from './site-scenarios.ts';

/** Columns of the results table. */
export const SITE_COLUMNS = [
	'scenario',
	'load',
	'policy',
	'programs',
	'worth',
	'inAimShare',
	'turnSlowdown',
	'readMillionTokens',
];

const createPolicies = (scenario: SiteScenario, seed: number): SitePolicy[] => [
	new RoundRobinSitePolicy(scenario),
	new LeastInFlightSitePolicy(scenario),
	new SessionStickySitePolicy(scenario),
	new MarjoramcoveSitePolicy(scenario, new RandomDraws(seed).next),
];

/**
 * Simulates the sites of the users with each policy. A load of 1 is the traffic of a day of high load.
 *
 * @param options.policies - names of the policies to run; all when absent.
 * @example
 * ```ts
 * const rows = runSites({seed: 1, loads: [1], policies: ['marjoramcove']});
 * ```
 */
export const runSites = ({
	seed,
	loads = [1],
	policies,
}: {
	seed: number;
	loads?: readonly number[];
	policies?: readonly string[];
}): Row[] => {
	const rows: Row[] = [];
	for (const scenario of SITE_SCENARIOS) {
		for (const load of loads) {
			const {traffic} = scenario;
			const scaledScenario = {
				...scenario,
				traffic: {...traffic, programsPerS: traffic.programsPerS * load},
			};
			for (const policy of createPolicies(scaledScenario, seed)) {
				if (!policies || policies.includes(policy.name)) {
					const metrics = runSite(scaledScenario, policy, seed);
					rows.push({
						scenario: scenario.name,
						load,
						policy: policy.name,
						seed,
						...metrics,
					});
				}
			}
		}
	}

	return rows;
};
