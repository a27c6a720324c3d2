import type {GroupId, ProgramId} from '@marjoramcove/types';

/** FNV-1a of the id; all daemons must compute the same value. */
const hashId = (id: string): number => {
	let hash = 0x81_1c_9d_c5;
	for (let index = 0; index < id.length; index++) {
		// eslint-disable-next-line no-bitwise
		hash = Math.imul(hash ^ id.codePointAt(index)!, 0x01_00_01_93) >>> 0;
	}

	return hash;
};

/**
 * Chooses the shard of a program. The number of shards never changes once they are placed.
 *
 * @example
 * ```ts
 * const groupId = chooseShard(programId, ['shard-0', 'shard-1']);
 * ```
 */
export const chooseShard = (
	programId: ProgramId,
	groupIds: readonly GroupId[],
): GroupId => groupIds[hashId(programId) % groupIds.length]!;
