#!/usr/bin/env node
import {spawn} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {
	type DeliberateFault,
	deliberateFaults,
	FAULT_VARIABLE,
} from './helpers/deliberate-fault.ts';

const root = path.resolve(import.meta.dirname, '../../..');
const RUN_TIMEOUT_MS = 180_000;

type Report = {
	testResults: Array<{
		assertionResults: Array<{title: string; status: string}>;
	}>;
};

const escapePattern = (name: string): string =>
	name.replaceAll(/[$\(\)*+.?\[\\\]^\{\|\}]/gv, String.raw`\$&`);

/** Runs one test with a deliberate fault and returns the status of the test. */
const runWithFault = async (
	name: string,
	{file, test}: DeliberateFault,
): Promise<string> => {
	const child = spawn(
		process.execPath,
		[
			path.join(root, 'node_modules/vitest/vitest.mjs'),
			'run',
			`packages/integration/src/${file}`,
			'-t',
			escapePattern(test),
			'--reporter=json',
		],
		{
			cwd: root,
			env: {...process.env, [FAULT_VARIABLE]: name},
			stdio: ['ignore', 'pipe', 'ignore'],
			timeout: RUN_TIMEOUT_MS,
		},
	);
	const output = await text(child.stdout);
	const start = output.indexOf('{"numTotalTestSuites"');
	const report = JSON.parse(output.slice(start)) as Report;
	const result = report.testResults
		.flatMap(({assertionResults}) => assertionResults)
		.find(({title}) => title === test);
	return result?.status ?? 'not found';
};

let undetectedCount = 0;
const selectedNames = process.argv.slice(2);
for (const [name, fault] of Object.entries(deliberateFaults)) {
	if (selectedNames.length > 0 && !selectedNames.includes(name)) {
		continue;
	}

	const status = await runWithFault(name, fault);
	const isDetected = status === 'failed';
	undetectedCount += isDetected ? 0 : 1;
	console.log(
		`${fault.invariant} ${name}: ${isDetected ? 'detected' : `NOT detected (${status})`} by ${fault.file} > ${fault.test}`,
	);
}

process.exitCode = undetectedCount === 0 ? 0 : 1;
