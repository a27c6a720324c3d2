import {assertInvariant} from '@marjoramcove/errors';
import xxhash, {type XXHashAPI} from 'xxhash-wasm';

let hasher: XXHashAPI | undefined;

/**
 * Loads the hash function. Code that opens a disk awaits this before it computes the first checksum.
 * A top-level `await` in this module would prevent bundling it into one script.
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
 * Computes the xxhash64 checksum of the bytes. {@link loadChecksum} must have been awaited.
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
