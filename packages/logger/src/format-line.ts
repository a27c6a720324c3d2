import logfmt from 'logfmt';

/** Separates the keys of nested objects. */
const SEPARATOR = '_';

const flatten = (
	record: Readonly<Record<string, unknown>>,
	prefix: string,
	flat: Record<string, unknown>,
): Record<string, unknown> => {
	for (const [key, value] of Object.entries(record)) {
		if (typeof value === 'string') {
			flat[prefix + key] = value.replaceAll('\n', String.raw`\n`);
		} else if (
			typeof value === 'object' &&
			value !== null &&
			!Array.isArray(value)
		) {
			const nested = value as Record<string, unknown>;
			flatten(nested, `${prefix}${key}${SEPARATOR}`, flat);
		} else {
			flat[prefix + key] = value;
		}
	}

	return flat;
};

/**
 * Formats a record as one line of key=value pairs. Line breaks in values are escaped, so that a value
 * cannot start a new line.
 *
 * @example
 * ```ts
 * formatLine({event: 'call-accepted', turn: 3}); // 'event=call-accepted turn=3'
 * ```
 */
export const formatLine = (record: Readonly<Record<string, unknown>>): string =>
	logfmt.stringify(flatten(record, '', {}));
