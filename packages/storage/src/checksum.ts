import {assertInvariant} from '@marjoramcove/errors';
import xxhash, {type XXHashAPI} from 'xxhash-wasm';

let hasher: XXHashAPI | undefined;

/**
 * Loads the hash function; whatever opens a disk awaits it before the first checksum. A module that
 * waited for it by itself could not be bundled into one script.
 *
 * @example
 * ```ts
 * await loadChecksum();
 * ```
 */
export const loadChecksum = async (): Promise<void> => {
	hasher ??= await xxhash();
};

/**
 * The xxhash64 checksum of the bytes. {@link loadChecksum} must have been awaited.
 *
 * @example
 * ```ts
 * view.setBigUint64(4, checksum64(payload));
 * ```
 */
export const checksum64 = (bytes: Uint8Array): bigint => {
	assertInvariant(hasher !== undefined, 'checksum-loaded', {
		sizeBytes: bytes.length,
	});
	return hasher.h64Raw(bytes);
};
