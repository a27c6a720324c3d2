import type {ProgramId} from '@marjoramcove/types';

/** Memory that an engine reports as held for a program. */
export type HeldProgram = {programId: ProgramId; tokens: number};

/**
 * Lists the programs whose memory an engine must release: those that have ended or are unknown. Callers
 * must pass only programs of the shards that they own, because others are unknown to them.
 *
 * @example
 * ```ts
 * planReleases(await readHeld(engine), (programId) => isProgramLive(state, programId));
 * ```
 */
export const planReleases = (
	held: readonly HeldProgram[],
	isLive: (programId: ProgramId) => boolean,
): ProgramId[] =>
	[...new Set(held.map(({programId}) => programId))].filter(
		(programId) => !isLive(programId),
	);
