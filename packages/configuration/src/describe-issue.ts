import type {z} from 'zod';

type Issue = z.core.$ZodIssue;

const formatPath = (path: readonly PropertyKey[]): string =>
	path.length === 0
		? 'the document'
		: path
				.map((part, index) =>
					typeof part === 'number'
						? `[${part}]`
						: `${index === 0 ? '' : '.'}${String(part)}`,
				)
				.join('');

/** Returns the value at a path of a parsed document. */
const readPath = (value: unknown, path: readonly PropertyKey[]): unknown => {
	let current = value;
	for (const part of path) {
		current = (current as Record<PropertyKey, unknown> | undefined)?.[part];
	}

	return current;
};

const formatValue = (value: unknown): string => {
	const text = JSON.stringify(value) ?? 'nothing';
	return text.length > 80 ? `${text.slice(0, 77)}...` : text;
};

/** Describes the values that are allowed at the path of an issue. */
const formatAllowed = (issue: Issue): string => {
	if (issue.code === 'invalid_type') {
		return issue.expected;
	}

	if (issue.code === 'invalid_value') {
		return issue.values.map(String).join(', ');
	}

	if (issue.code === 'invalid_union') {
		const {options} = issue as {options?: readonly unknown[]};
		return options?.map(String).join(', ') ?? issue.message;
	}

	if (issue.code === 'too_small') {
		return `at least ${issue.minimum}`;
	}

	return issue.code === 'too_big' ? `at most ${issue.maximum}` : issue.message;
};

/** Lists the keys that the schema allows at a path. */
export type AllowedKeysLookup = (path: readonly PropertyKey[]) => string[];

/**
 * Describes a validation issue: the path of the key, the value that was found and what is allowed.
 *
 * @example
 * ```ts
 * describeIssue(issue, document, () => ['type', 'slots']);
 * // 'spec.slotz: unknown key; allowed: type, slots'
 * ```
 */
export const describeIssue = (
	issue: Issue,
	document: unknown,
	lookUpAllowedKeys: AllowedKeysLookup,
): string => {
	if (issue.code === 'unrecognized_keys') {
		const allowed = lookUpAllowedKeys(issue.path).join(', ');
		return issue.keys
			.map(
				(key) =>
					`${formatPath([...issue.path, key])}: unknown key; allowed: ${allowed}`,
			)
			.join('; ');
	}

	if (issue.code === 'invalid_key') {
		return `${formatPath(issue.path)}: invalid key; ${issue.issues.map((nested) => nested.message).join(', ')}`;
	}

	return `${formatPath(issue.path)}: found ${formatValue(readPath(document, issue.path))}; allowed: ${formatAllowed(issue)}`;
};
