const OFFSET_BASIS = 0x81_1c_9d_c5;
const PRIME = 0x01_00_01_93;

/**
 * Returns the 32-bit FNV-1a hash of a text as an unsigned integer; all daemons compute the same value. It
 * distributes names evenly, but is not cryptographic: whoever chooses the names can force collisions.
 *
 * @example
 * ```ts
 * const shard = hashText(programId) % shardCount;
 * ```
 */
export const hashText = (text: string): number => {
	let hash = OFFSET_BASIS;
	for (let index = 0; index < text.length; index++) {
		// eslint-disable-next-line no-bitwise
		hash = Math.imul(hash ^ text.codePointAt(index)!, PRIME) >>> 0;
	}

	return hash;
};
