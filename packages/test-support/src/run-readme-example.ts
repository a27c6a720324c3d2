import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {inspect} from 'node:util';

const packagesFolder = path.resolve(import.meta.dirname, '../..');

const formatValues = (values: unknown[]): string =>
	values
		.map((value) => (Array.isArray(value) ? inspect(value) : String(value)))
		.join(' ');

/** Runs a function and returns the lines that it writes with `console.log`. */
const captureLog = async (run: () => Promise<void>): Promise<string[]> => {
	const {log} = console;
	const lines: string[] = [];
	console.log = (...values: unknown[]) => {
		lines.push(formatValues(values));
	};

	try {
		await run();
	} finally {
		console.log = log;
	}

	return lines;
};

/**
 * Runs the first TypeScript block of a package's README.
 *
 * @returns what it printed, and what its comments `// prints …` say.
 * @example
 * ```ts
 * const {printed, expected} = await runReadmeExample('membership');
 * ```
 */
export const runReadmeExample = async (
	packageName: string,
): Promise<{printed: string[]; expected: string[]}> => {
	const readme = readFileSync(
		path.join(packagesFolder, packageName, 'README.md'),
		'utf8',
	);
	const example = /```ts\n(.*?)```/su.exec(readme)?.[1] ?? '';
	// The file lies in the workspace, so that its imports resolve as for a user.
	const file = path.resolve(packagesFolder, `../out/readme/${packageName}.ts`);
	mkdirSync(path.dirname(file), {recursive: true});
	writeFileSync(file, example);
	const printed = await captureLog(async () => {
		await import(file);
	});
	const expected = [...example.matchAll(/\/\/ prints (.*)/gu)].map(
		([, text]) => text!,
	);
	return {printed, expected};
};
