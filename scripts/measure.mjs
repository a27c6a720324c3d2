// Runs the measurement that the first argument names. `idle` runs deployments of the bundled program, whose
// stand belongs to `platform`; all others belong to the package `measure`.
import {spawnSync} from 'node:child_process';
import path from 'node:path';
import process from 'node:process';

const root = path.resolve(import.meta.dirname, '..');
const [name, ...rest] = process.argv.slice(2);
const args =
	name === 'idle'
		? [
				'--conditions=source',
				'--import',
				'tsx',
				'platform/src/testing/measure-idle/bin.ts',
				...rest,
			]
		: ['packages/measure/dist/bin.js', ...process.argv.slice(2)];
const {status} = spawnSync(process.execPath, args, {
	cwd: root,
	stdio: 'inherit',
});
process.exit(status ?? 1);
