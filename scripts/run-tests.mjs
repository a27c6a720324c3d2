// Runs all tests with Vitest and ignores exactly those failures that KNOWN-RED.txt lists.
import {spawnSync} from 'node:child_process';
import {existsSync, readFileSync, rmSync} from 'node:fs';
import path from 'node:path';

const root = path.resolve(import.meta.dirname, '..');
const resultsFile = path.join(root, '.vitest-results.json');

const readKnownFailures = () => {
	const file = path.join(root, 'KNOWN-RED.txt');
	if (!existsSync(file)) {
		return [];
	}

	return readFileSync(file, 'utf8')
		.split('\n')
		.filter((line) => line.trim() !== '' && !line.startsWith('#'))
		.map((line) => line.split(' | ')[0].trim());
};

const collectResults = () => {
	const report = JSON.parse(readFileSync(resultsFile, 'utf8'));
	return report.testResults.flatMap((file) => {
		const name = path.relative(root, file.name);
		if (file.assertionResults.length === 0 && file.status !== 'passed') {
			return [{id: name, status: 'failed'}];
		}

		return file.assertionResults.map((test) => ({
			id: `${name} > ${[...test.ancestorTitles, test.title].join(' > ')}`,
			status: test.status,
		}));
	});
};

rmSync(resultsFile, {force: true});
const run = spawnSync(
	process.execPath,
	[
		path.join(root, 'node_modules/vitest/vitest.mjs'),
		'run',
		'--reporter=default',
		'--reporter=json',
		`--outputFile.json=${resultsFile}`,
		...process.argv.slice(2),
	],
	{cwd: root, stdio: 'inherit'},
);
if (!existsSync(resultsFile)) {
	console.error('Vitest did not write a results file.');
	process.exit(run.status ?? 1);
}

const known = new Set(readKnownFailures());
const results = collectResults();
const failed = results.filter((test) => test.status === 'failed');
const unexpected = failed.filter((test) => !known.has(test.id));
const passed = results.filter((test) => test.status === 'passed').length;

for (const id of known) {
	const seen = results.find((test) => test.id === id);
	console.log(`Known failure (${seen?.status ?? 'not run'}): ${id}`);
}

for (const test of unexpected) {
	console.error(`Unexpected failure: ${test.id}`);
}

console.log(`${passed} passed, ${unexpected.length} failed`);
const onlyKnownFailures = failed.length > 0 && unexpected.length === 0;
const runnerFailed = run.status !== 0 && !onlyKnownFailures;
process.exit(unexpected.length > 0 || passed === 0 || runnerFailed ? 1 : 0);
