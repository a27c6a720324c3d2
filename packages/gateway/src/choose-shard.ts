import {type GroupId, hashText, type ProgramId} from '@marjoramcove/types';

/**
 * Chooses the shard of a program by hashing its id. The number of shards is fixed after placement.
 *
 * @example
 * ```ts
 * const groupId = chooseShard(programId, ['shard-0', 'shard-1']);
 * ```
 */
export const chooseShard = (
	programId: ProgramId,
	groupIds: readonly GroupId[],
): GroupId => groupIds[hashText(programId) % groupIds.length]!;
