import yargs, {type Options} from 'yargs';
import {hideBin} from 'yargs/helpers';

const SCENARIOS = [
	'baramyeon',
	'piatothiki',
	'bound',
	'failures',
	'target',
	'control',
	'sites',
	'placement',
] as const;

export type ScenarioName = (typeof SCENARIOS)[number];

/** Cache capacity that holds the longest program of every scenario. */
const MIN_CACHE_TOKENS = 300_000;

const OPTIONS = {
	seed: {type: 'number', default: 1, describe: 'First seed'},
	seeds: {type: 'number', default: 1, describe: 'Number of seeds'},
	policies: {
		type: 'string',
		describe: 'Comma-separated names of the policies to run',
	},
	'cache-tokens': {
		type: 'number',
		describe: 'Cache capacity of an engine in tokens',
	},
	loads: {
		type: 'string',
		describe:
			'Comma-separated loads to run; all loads of the scenario when absent',
	},
	live: {
		type: 'boolean',
		default: false,
		describe: 'Run a scaled-down workload against real daemons in real time',
	},
	out: {type: 'string', describe: 'File for the rows as JSON'},
	plots: {type: 'string', describe: 'Folder for SVG plots'},
	markdown: {
		type: 'boolean',
		default: false,
		describe: 'Print Markdown tables',
	},
} as const satisfies Record<string, Options>;

type ParsedArguments = {
	seed: number;
	seeds: number;
	loads?: string;
	cacheTokens?: unknown;
	live: boolean;
	scenario?: string;
};

const checkArguments = (parsed: ParsedArguments): true => {
	const {seed, seeds, loads, cacheTokens, live, scenario} = parsed;
	const isCount = Number.isSafeInteger(seeds) && seeds >= 1;
	if (!Number.isSafeInteger(seed) || !isCount) {
		throw new Error('--seed and --seeds must be integers, --seeds at least 1.');
	}

	if (live && scenario !== 'baramyeon' && scenario !== 'piatothiki') {
		throw new Error('--live needs the scenario baramyeon or piatothiki.');
	}

	if (loads?.split(',').some((load) => !(Number(load) > 0))) {
		throw new Error('--loads must be positive numbers, such as 0.9,1.1.');
	}

	if (!(Number(cacheTokens ?? MIN_CACHE_TOKENS) >= MIN_CACHE_TOKENS)) {
		throw new Error(
			`--cache-tokens must be at least ${MIN_CACHE_TOKENS}, so that every program fits.`,
		);
	}

	return true;
};

/** Parses the command line; prints the usage and exits on invalid input. */
export const readArguments = () =>
	yargs(hideBin(process.argv))
		.scriptName('measure')
		.command('$0 <scenario>', 'Runs the experiments of a scenario', (command) =>
			command.positional('scenario', {choices: SCENARIOS, demandOption: true}),
		)
		.options(OPTIONS)
		.check((parsed) => checkArguments(parsed))
		.strict()
		.parseSync();
