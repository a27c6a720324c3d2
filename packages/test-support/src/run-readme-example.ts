import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import {inspect} from 'node:util';

const packagesFolder = path.resolve(import.meta.dirname, '../..');

const formatValues = (values: unknown[]): string =>
	values
		.map((value) => (Array.isArray(value) ? inspect(value) : String(value)))
		.join(' ');

/** Runs a function and returns the lines it writes with `console.log`. */
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
 * Runs the first TypeScript code block of a package's README.
 *
 * @returns the printed lines, and the lines expected by the `// prints …` comments.
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
	// The file is written inside the workspace so that package imports resolve as they do for users.
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
