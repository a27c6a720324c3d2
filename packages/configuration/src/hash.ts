import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** Hashes text to 64 bits, as 16 hexadecimal digits. */
export const hashText = (text: string): string => hasher.h64ToString(text);

/**
 * Encodes a value as JSON with sorted keys, so that equal values have equal encodings.
 *
 * @example
 * ```ts
 * encodeCanonical({b: 1, a: 2}); // '{"a":2,"b":1}'
 * ```
 */
export const encodeCanonical = (value: unknown): string =>
	JSON.stringify(value, (_, nested: unknown) =>
		typeof nested === 'object' && nested !== null && !Array.isArray(nested)
			? Object.fromEntries(
					Object.entries(nested).sort(([a], [b]) => (a < b ? -1 : 1)),
				)
			: nested,
	);
