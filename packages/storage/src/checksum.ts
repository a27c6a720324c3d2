import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/**
 * The xxhash64 checksum of the bytes.
 *
 * @example
 * ```ts
 * view.setBigUint64(4, checksum64(payload));
 * ```
 */
export const checksum64 = (bytes: Uint8Array): bigint => hasher.h64Raw(bytes);
