#!/usr/bin/env node
import {mkdirSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {BOUND_COLUMNS, computeLatencyBound} from './compute-latency-bound.ts';
import {plotLatency} from './plot-latency.ts';
import {formatMarkdown, formatTable} from './print-table.ts';
import {readArguments, type ScenarioName} from './read-arguments.ts';
import {averageRows, type Row} from './row.ts';
import {runLive} from './run-live.ts';
import {CONTROL_COLUMNS, runControl} from './run-control.ts';
import {runFailures} from './run-failures.ts';
import {runScenario} from './run-scenario.ts';
import {runTarget, TARGET_COLUMNS} from './run-target.ts';
import {BARAMYEON, PIATOTHIKI, type Scenario} from './scenarios.ts';
import {PLACEMENT_COLUMNS, runPlacement} from './placement/run-placement.ts';
import {runSites, SITE_COLUMNS} from './sites/run-sites.ts';

const KEY_COLUMNS = ['scenario', 'load', 'policy'];
const COLUMNS = [
	...KEY_COLUMNS,
	'programs',
	'finishedInTimePrograms',
	'refusedPrograms',
	'programLatencyP50Ms',
	'programLatencyP95Ms',
	'programLatencyP95WithRefusedMs',
	'programLatencyP99Ms',
	'programLatencyMeanMs',
	'ratioToLowerBoundMean',
	'wastedPrefixShare',
	'unusedCacheTokenSeconds',
	'callerSpreadRatio',
	'callerInTimeShareMin',
	'callerInTimeShareMax',
];
const FAILURE_COLUMNS = [
	...KEY_COLUMNS,
	'finishedInTimePrograms',
	'programLatencyP95Ms',
	'steadySlowdown',
	'faultSlowdown',
	'recoveryMs',
];

type SeedOptions = {
	live: boolean;
	seed: number;
	policies?: readonly string[];
	loads?: number[];
	cacheTokens?: number;
};

const applyOverrides = (
	scenario: Scenario,
	{loads = scenario.loads, cacheTokens}: SeedOptions,
): Scenario => ({
	...scenario,
	loads,
	model: {
		...scenario.model,
		cacheCapacityTokens: cacheTokens ?? scenario.model.cacheCapacityTokens,
	},
});

const runSeed = async (
	name: ScenarioName,
	options: SeedOptions,
): Promise<Row[]> => {
	if (options.live) {
		return runLive(name === 'piatothiki' ? PIATOTHIKI : BARAMYEON, options);
	}

	switch (name) {
		case 'baramyeon': {
			return runScenario(applyOverrides(BARAMYEON, options), options);
		}

		case 'piatothiki': {
			return runScenario(applyOverrides(PIATOTHIKI, options), options);
		}

		case 'bound': {
			return computeLatencyBound(
				applyOverrides(BARAMYEON, options),
				options.seed,
			);
		}

		case 'failures': {
			return runFailures(BARAMYEON, options);
		}

		case 'target': {
			return runTarget(options.seed);
		}

		case 'control': {
			return runControl(options.seed);
		}

		case 'sites': {
			return runSites(options);
		}

		case 'placement': {
			return runPlacement(options);
		}
	}
};

const SPECIAL_COLUMNS: Partial<Record<ScenarioName, string[]>> = {
	bound: BOUND_COLUMNS,
	target: TARGET_COLUMNS,
	failures: FAILURE_COLUMNS,
	control: CONTROL_COLUMNS,
	sites: SITE_COLUMNS,
	placement: PLACEMENT_COLUMNS,
};

const columnsOf = (name: ScenarioName): string[] =>
	SPECIAL_COLUMNS[name] ?? COLUMNS;

const writePlots = (folder: string, name: ScenarioName, rows: Row[]): void => {
	mkdirSync(folder, {recursive: true});
	for (const metric of ['programLatencyP50Ms', 'programLatencyP95Ms']) {
		writeFileSync(
			path.join(folder, `${name}-${metric}.svg`),
			plotLatency(rows, metric, name),
		);
	}
};

const writeRows = (file: string, rows: Row[]): void => {
	mkdirSync(path.dirname(path.resolve(file)), {recursive: true});
	writeFileSync(file, `${JSON.stringify(rows, undefined, '\t')}\n`);
};

const main = async (): Promise<void> => {
	const {seed, seeds, policies, loads, cacheTokens, ...rest} = readArguments();
	const {out, plots, markdown} = rest;
	const name = rest.scenario as ScenarioName;
	const rows: Row[] = [];
	for (let offset = 0; offset < seeds; offset++) {
		rows.push(
			...(await runSeed(name, {
				seed: seed + offset,
				policies: policies?.split(','),
				loads: loads?.split(',').map(Number),
				cacheTokens,
				live: rest.live,
			})),
		);
		// A run over many seeds takes minutes, so results are saved after each seed in case it is interrupted.
		if (out) {
			writeRows(out, rows);
		}
	}

	const means = averageRows(rows);
	const format = markdown ? formatMarkdown : formatTable;
	console.log(format(means, columnsOf(name)));
	if (plots && (name === 'baramyeon' || name === 'piatothiki')) {
		writePlots(plots, name, means);
	}
};

await main();
