import type {ProgramId} from '@marjoramcove/types';

const PATTERN = /^p(\d{1,6})-[\w.-]{1,64}$/u;

/**
 * Parses the shard number out of a program id of the form `p<shard>-<random>`.
 *
 * @returns `NaN` when the id has another form.
 * @example
 * ```ts
 * shardOfProgram(asId<ProgramId>('p3-x7k2')); // 3
 * ```
 */
export const shardOfProgram = (programId: ProgramId): number => {
	const match = PATTERN.exec(programId);
	return match ? Number(match[1]) : Number.NaN;
};
