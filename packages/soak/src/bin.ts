#!/usr/bin/env node
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runSoak} from './run-soak.ts';
import {SCENARIOS} from './scenarios/index.ts';

const faults = SCENARIOS.flatMap((scenario) => scenario.faults);
const settings = await yargs(hideBin(process.argv))
	.scriptName('npm run soak --')
	.option('seed', {
		type: 'number',
		default: 1,
		describe: 'seed of all random decisions',
	})
	.option('minutes', {
		type: 'number',
		default: 1,
		describe: 'duration; a fraction is allowed',
	})
	.option('scenario', {
		choices: SCENARIOS.map((scenario) => scenario.name),
		describe: 'run only this scenario',
	})
	.option('fault', {
		choices: faults,
		describe: 'inject this fault, which a check must detect',
	})
	.option('first-round', {type: 'number', default: 0})
	.option('rounds', {type: 'number', describe: 'maximum number of rounds'})
	.strict()
	.parseAsync();

const scenarios = SCENARIOS.filter(
	(scenario) =>
		(settings.scenario === undefined || scenario.name === settings.scenario) &&
		(settings.fault === undefined || scenario.faults.includes(settings.fault)),
);
console.log(`seed ${settings.seed}`);
const isPassed = await runSoak({
	seed: settings.seed,
	minutes: settings.minutes,
	scenarios,
	fault: settings.fault,
	firstRound: settings.firstRound,
	rounds: settings.rounds,
	print(line) {
		console.log(line);
	},
});
process.exit(isPassed ? 0 : 1);
