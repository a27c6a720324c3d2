/** Number of values of a 32-bit hash. */
export const HASH_RANGE = 2 ** 32;

/** Multiplier of the 32-bit finaliser of MurmurHash3. */
const MIX_MULTIPLIER = 0x85_eb_ca_6b;

/**
 * Combines two hashes; cheaper than hashing two strings for every server on every choice.
 *
 * @example
 * ```ts
 * const weight = combineHashes(hashText(key), hashText(serverId)) / HASH_RANGE;
 * ```
 */
export const combineHashes = (first: number, second: number): number => {
	/* eslint-disable no-bitwise */
	let mixed = first ^ second;
	mixed = Math.imul(mixed ^ (mixed >>> 16), MIX_MULTIPLIER);
	return (mixed ^ (mixed >>> 13)) >>> 0;
	/* eslint-enable no-bitwise */
};
