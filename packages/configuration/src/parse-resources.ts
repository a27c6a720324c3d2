import {ValidationError} from '@marjoramcove/errors';
import {parseAllDocuments} from 'yaml';
import {listAllowedKeys} from './allowed-keys.ts';
import {describeIssue} from './describe-issue.ts';
import type {Resource} from './resources.ts';
import {resourceSchema} from './schemas.ts';

/** Maximum size of a resource file: about 10 times the configuration at the target scale. */
export const MAX_RESOURCE_FILE_BYTES = 16 * 1024 * 1024;

/** Maximum number of problems that one error lists. */
const MAX_LISTED_PROBLEMS = 20;

/**
 * Validates a value against the resource schema.
 *
 * @returns the resource, or a description of each problem.
 */
export const validateResource = (
	value: unknown,
): {resource: Resource} | {problems: string[]} => {
	const parsed = resourceSchema.safeParse(value);
	return parsed.success
		? {resource: parsed.data}
		: {
				problems: parsed.error.issues.map((issue) =>
					describeIssue(issue, value, (path) => listAllowedKeys(value, path)),
				),
			};
};

type ParsedDocument = {number: number; value: unknown; problems: string[]};

const readDocuments = (yamlText: string): ParsedDocument[] =>
	[...parseAllDocuments(yamlText)].flatMap((document, index) => {
		const number = index + 1;
		const problems = document.errors.map(
			(error) => error.message.split('\n')[0]!,
		);
		if (problems.length > 0) {
			return [{number, value: undefined, problems}];
		}

		try {
			const value: unknown = document.toJS();
			return value === null ? [] : [{number, value, problems}];
		} catch (error) {
			return [{number, value: undefined, problems: [(error as Error).message]}];
		}
	});

/** Collects the resources of all valid documents and appends the problems of the others to `problems`. */
const collectResources = (yamlText: string, problems: string[]): Resource[] => {
	const resources: Resource[] = [];
	const documentOf = new Map<string, number>();
	for (const document of readDocuments(yamlText)) {
		const addProblem = (problem: string) => {
			problems.push(`document ${document.number}: ${problem}`);
		};

		const result =
			document.problems.length > 0
				? {problems: document.problems}
				: validateResource(document.value);
		if ('problems' in result) {
			for (const problem of result.problems) {
				addProblem(problem);
			}

			continue;
		}

		const {kind, name} = result.resource;
		const firstDocument = documentOf.get(`${kind}/${name}`);
		if (firstDocument !== undefined) {
			addProblem(
				`${kind} ${name} is also in document ${firstDocument}; allowed: one document for each kind and name`,
			);
		}

		documentOf.set(`${kind}/${name}`, document.number);
		resources.push(result.resource);
	}

	return resources;
};

/**
 * Parses YAML documents with one resource each. Empty documents are skipped but counted in the document
 * numbers.
 *
 * @throws ValidationError that lists each problem with the document number, the path of the key, the
 * value that was found and the values that are allowed.
 * @example
 * ```ts
 * const resources = parseResources(await readFile('selectors.yaml', 'utf8'));
 * ```
 */
export const parseResources = (yamlText: string): Resource[] => {
	if (Buffer.byteLength(yamlText) > MAX_RESOURCE_FILE_BYTES) {
		throw new ValidationError(
			`The file is larger than ${MAX_RESOURCE_FILE_BYTES} bytes.`,
			'Split the file and apply its parts one after the other.',
		);
	}

	const problems: string[] = [];
	const resources = collectResources(yamlText, problems);
	if (problems.length > 0) {
		const listed = problems.slice(0, MAX_LISTED_PROBLEMS);
		throw new ValidationError(
			`The resources have ${problems.length} problem${problems.length === 1 ? '' : 's'}: ${listed.join('\n')}`,
			'Correct the named keys; nothing was applied. Quote label values such as "true" and "1".',
			{problems: listed},
		);
	}

	return resources;
};
