import {ValidationError} from '@marjoramcove/errors';
import {parseDocument} from 'yaml';
import type {z} from 'zod';
import {checkSettings, type SettingsProblem} from './check-settings.ts';
import {type Settings, settingsSchema} from './settings-schema.ts';

const formatPath = (path: readonly PropertyKey[]): string => {
	let text = '';
	for (const part of path) {
		text +=
			typeof part === 'number'
				? `[${part}]`
				: `${text === '' ? '' : '.'}${String(part)}`;
	}

	return text === '' ? '(top level)' : text;
};

const findValue = (data: unknown, path: readonly PropertyKey[]): unknown => {
	let value = data;
	for (const part of path) {
		value = (value as Record<PropertyKey, unknown> | undefined)?.[part];
	}

	return value;
};

const describeValue = (value: unknown): string =>
	value === undefined
		? 'nothing'
		: (JSON.stringify(value)?.slice(0, 200) ?? '');

const describeAllowed = (issue: z.core.$ZodIssue): string =>
	issue.code === 'unrecognized_keys'
		? 'only the keys of the settings reference (docs/OPERATIONS.md)'
		: issue.message;

const toProblems = (
	issues: readonly z.core.$ZodIssue[],
	data: unknown,
): SettingsProblem[] =>
	issues.flatMap((issue) => {
		if (issue.code === 'unrecognized_keys') {
			return issue.keys.map((key) => ({
				path: formatPath([...issue.path, key]),
				found: 'an unknown key',
				allowed: describeAllowed(issue),
			}));
		}

		return [
			{
				path: formatPath(issue.path),
				found: describeValue(findValue(data, issue.path)),
				allowed: describeAllowed(issue),
			},
		];
	});

const createError = (problems: SettingsProblem[]): ValidationError =>
	new ValidationError(
		problems
			.map(
				({path, found, allowed}) =>
					`${path}: found ${found}; allowed: ${allowed}`,
			)
			.join('\n'),
		'Correct the settings file and check it with marjoramcoved --check --settings FILE.',
		{problems},
	);

/**
 * Parses and checks the text of a settings file and fills in the defaults.
 *
 * @throws ValidationError that lists, for each problem, the path of the key, the value found and the allowed values.
 * @example
 * ```ts
 * const settings = parseSettings(await readFile('daemon.yaml', 'utf8'));
 * ```
 */
export const parseSettings = (text: string): Settings => {
	const document = parseDocument(text);
	if (document.errors.length > 0) {
		throw createError(
			document.errors.map((error) => ({
				path: `line ${error.linePos?.[0].line ?? 1}`,
				found: error.message.split('\n')[0] ?? 'invalid YAML',
				allowed: 'one YAML document',
			})),
		);
	}

	const data: unknown = document.toJS();
	const result = settingsSchema.safeParse(data);
	if (!result.success) {
		throw createError(toProblems(result.error.issues, data));
	}

	const problems = checkSettings(result.data);
	if (problems.length > 0) {
		throw createError(problems);
	}

	return result.data;
};
