import {execFile} from 'node:child_process';
import {mkdtemp, readFile, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {promisify} from 'node:util';
import {describe, expect, it} from 'vitest';

const packageFolder = path.resolve(import.meta.dirname, '..');

describe('the README example', () => {
	it('runs unchanged and prints the sum', async () => {
		const readme = await readFile(
			path.join(packageFolder, 'README.md'),
			'utf8',
		);
		const [, example] = /```js\n(.*?)```/su.exec(readme)!;
		const folder = await mkdtemp(path.join(tmpdir(), 'readme-'));
		// The script is inside the package, so that its import resolves as it does for a user.
		const script = path.join(packageFolder, 'dist', 'readme-example.mjs');
		const text = `const folder = ${JSON.stringify(folder)};\n${example!}`;
		await writeFile(script, text);
		try {
			const {stdout} = await promisify(execFile)(process.execPath, [script], {
				timeout: 20_000,
			});
			expect(stdout).toBe('5\n');
		} finally {
			await rm(script);
			await rm(folder, {recursive: true});
		}
	});
});
