import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/**
 * Hashes text to a signed 32-bit integer, which V8 can store without a heap object.
 *
 * @example
 * ```ts
 * const bodyHash = hashText32(body);
 * ```
 */
export const hashText32 = (text: string): number => {
	const hash = hasher.h32(text);
	return hash < 2 ** 31 ? hash : hash - 2 ** 32;
};

/**
 * Hashes text to 64 bits.
 *
 * @example
 * ```ts
 * const idHash = hashText64(requestId);
 * ```
 */
export const hashText64 = (text: string): bigint => hasher.h64(text);
