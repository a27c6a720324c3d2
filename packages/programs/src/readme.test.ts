import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {inspect} from 'node:util';
import {describe, expect, it, vi} from 'vitest';

const packageFolder = path.resolve(import.meta.dirname, '..');
const exampleFile = path.resolve(packageFolder, '../../out/readme/programs.ts');

describe('README', () => {
	it('has an example that runs and prints what it says (failure: the documentation is out of date)', async () => {
		const readme = readFileSync(path.join(packageFolder, 'README.md'), 'utf8');
		const [, example] = /```ts\n(.*?)```/su.exec(readme)!;
		mkdirSync(path.dirname(exampleFile), {recursive: true});
		writeFileSync(exampleFile, example!);
		const log = vi.spyOn(console, 'log').mockReturnValue();
		await import(exampleFile);
		const printed = log.mock.calls.map((values) =>
			values
				.map((value: unknown) =>
					Array.isArray(value) ? inspect(value) : String(value),
				)
				.join(' '),
		);
		log.mockRestore();
		const expected = [...example!.matchAll(/\/\/ prints (.*)/gu)];
		expect(printed).toEqual(expected.map(([, text]) => text));
		expect(printed.length).toBeGreaterThan(0);
	});
});
