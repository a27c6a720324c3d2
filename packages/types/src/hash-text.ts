const OFFSET_BASIS = 0x81_1c_9d_c5;
const PRIME = 0x01_00_01_93;

/**
 * FNV-1a of a text, 32 bits without a sign; all daemons compute the same value. It spreads names, and
 * is no protection against anyone who chooses them.
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
